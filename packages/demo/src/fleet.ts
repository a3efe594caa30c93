/** A small fleet as separate processes: platform stand-in, nodes, backend server stand-ins. */
import {formatAddress, type Address, type NodeRecord} from '@limpetbarrow/core';
import {startProcess, stopProcess, type StartedProcess} from './child-process.js';

/** Where a node of the fleet is placed and which backend servers its host has. */
export type HostPlan = {
	readonly id: string;
	readonly region: string;
	readonly failureDomain: string;
	readonly services: readonly string[];
};

/** A running node. */
export type FleetNode = {
	readonly plan: HostPlan;
	readonly process: StartedProcess;
	readonly record: NodeRecord;
};

/** A running backend server. */
export type FleetBackend = {
	readonly id: string;
	readonly service: string;
	readonly process: StartedProcess;
	readonly address: Address;
};

/** A running fleet. */
export type Fleet = {
	readonly platform: StartedProcess;
	readonly platformAddress: Address;
	readonly nodes: readonly FleetNode[];
	readonly backends: readonly FleetBackend[];
};

const slotsPerServer = 3;

type NodeAddresses = Pick<NodeRecord, 'ingressAddress' | 'adminAddress' | 'linkAddress' | 'gossipAddress'>;

const anyAddress: Address = {host: '127.0.0.1', port: 0};
const anyAddresses: NodeAddresses = {
	ingressAddress: anyAddress, adminAddress: anyAddress, linkAddress: anyAddress, gossipAddress: anyAddress,
};

async function startNode(plan: HostPlan, platform: Address, seeds: readonly Address[], addresses = anyAddresses): Promise<FleetNode> {
	const process = await startProcess([
		'node',
		'--id',
		plan.id,
		'--region',
		plan.region,
		'--failure-domain',
		plan.failureDomain,
		'--ingress',
		formatAddress(addresses.ingressAddress),
		'--admin',
		formatAddress(addresses.adminAddress),
		'--link',
		formatAddress(addresses.linkAddress),
		'--gossip',
		formatAddress(addresses.gossipAddress),
		'--seeds',
		seeds.map(seed => formatAddress(seed)).join(','),
		'--platform',
		`http://${formatAddress(platform)}`,
		'--log-level',
		'error',
	]);
	return {plan, process, record: (process.ready as {readonly record: NodeRecord}).record};
}

async function startBackend(id: string, service: string, nodes: readonly Address[]): Promise<FleetBackend> {
	const process = await startProcess([
		'stand-in-backend', '--id', id, '--service', service, '--slots', String(slotsPerServer), '--nodes', nodes.map(node => formatAddress(node)).join(','),
	]);
	return {
		id, service, process, address: (process.ready as {readonly address: Address}).address,
	};
}

/** Starts the fleet; each backend server announces to its host's node first, then to the next. */
export async function startFleet(plans: readonly HostPlan[]): Promise<Fleet> {
	const platform = await startProcess(['stand-in-platform']);
	const platformAddress = (platform.ready as {readonly address: Address}).address;
	const [firstPlan, ...otherPlans] = plans;
	const first = await startNode(firstPlan!, platformAddress, []);
	const others = await Promise.all(otherPlans.map(async plan => startNode(plan, platformAddress, [first.record.gossipAddress])));
	const nodes = [first, ...others];
	const backends = await Promise.all(nodes.flatMap(({plan, record}, index) => {
		const fallback = nodes[(index + 1) % nodes.length]!.record.adminAddress;
		return plan.services.map(async service => startBackend(`${plan.id}-${service}`, service, [record.adminAddress, fallback]));
	}));
	return {
		platform, platformAddress, nodes, backends,
	};
}

/** Starts a node anew at the addresses of a run that has ended. */
export async function startNodeAgain({platformAddress, nodes}: Fleet, {plan, record}: FleetNode): Promise<FleetNode> {
	const seeds = nodes.filter(node => node.plan.id !== plan.id).map(node => node.record.gossipAddress);
	return startNode(plan, platformAddress, seeds, record);
}

/** Ends every process of the fleet that still runs. */
export async function stopFleet({platform, nodes, backends}: Fleet): Promise<void> {
	await Promise.all(backends.map(async ({process}) => stopProcess(process, 'SIGKILL')));
	await Promise.all(nodes.map(async ({process}) => stopProcess(process, 'SIGKILL')));
	await stopProcess(platform, 'SIGKILL');
}
