/** Members of a whole fleet in one process, with fake time, latency, loss, cuts and pauses. */
import {performance as realPerformance} from 'node:perf_hooks';
import {type Address, type NodeRecord, type ServerRecord} from '@limpetbarrow/core';
import {
	decodeMessage, encodeMessage, gossipPeriodMs, Membership, MemberTable, MessageTransport, type MemberMessage, type MemberSnapshot,
} from '@limpetbarrow/members';

/** Size and seed of a fleet. */
export type MemberFleetPlan = {
	readonly nodes: number;
	readonly serversPerNode: number;
	readonly seed: number;
};

/** One running member. */
export type FleetMember = {
	readonly index: number;
	readonly table: MemberTable;
	readonly membership: Membership;
};

/** Bytes and messages sent by one node. */
export type Traffic = {
	readonly bytes: number;
	readonly messages: number;
};

const regions = 2;
const domains = 4;
const regionLatencyMs = 30;
const domainLatencyMs = 1;
const datagramOverheadBytes = 28;
const stepGroups = 10;

/** Creates numbers from 0 to below 1 that repeat with the seed (Park and Miller). */
export function createRandom(seed: number): () => number {
	let state = seed;
	return () => {
		state = (state * 48_271) % 2_147_483_647;
		return state / 2_147_483_647;
	};
}

function getRegion(index: number): number {
	return index % regions;
}

function createServer(node: number, index: number, incarnation: number): ServerRecord {
	return {
		id: `server-${node}-${index}`, service: `service-${((node * 7) + index) % 220}`, slots: 3, state: 'ready', generation: incarnation, badness: 0,
	};
}

/** The record of a node of the fleet. */
export function createNodeRecord(index: number, serversPerNode: number, incarnation: number): NodeRecord {
	const host = `10.${Math.floor(index / 250)}.0.${index % 250}`;
	return {
		id: `node-${index}`,
		incarnation: 1_790_000_000_000 + incarnation,
		sequence: 1,
		placement: {region: `region-${getRegion(index)}`, failureDomain: `domain-${index % domains}`},
		linkAddress: {host, port: 8082},
		gossipAddress: {host, port: 8083},
		ingressAddress: {host, port: 8080},
		adminAddress: {host, port: 8081},
		state: 'serving',
		release: 1,
		servers: Array.from({length: serversPerNode}, (_, server) => createServer(index, server, incarnation)),
		poison: [],
	};
}

class FleetTransport extends MessageTransport {
	readonly #send: (to: Address, message: MemberMessage) => void;

	constructor(send: (to: Address, message: MemberMessage) => void) {
		super();
		this.#send = send;
	}

	override async open(address: Address): Promise<Address> {
		return address;
	}

	override send(address: Address, message: MemberMessage): void {
		this.#send(address, message);
	}

	override close(): void {
		// The fleet forgets the member.
	}
}

type Held = {
	readonly message: MemberMessage;
	readonly from: Address;
};

/** A fleet that tests drive; fake time must be installed. */
export class MemberFleet {
	readonly members = new Map<number, FleetMember>();
	/** Pairs `from>to` of indexes that lose every message. */
	readonly cuts = new Set<string>();
	loss = 0;
	/** False to pass messages on as they are, which saves memory where records arrive in bulk. */
	isDecoding = true;
	readonly #plan: MemberFleetPlan;
	readonly #pickNext: () => number;
	readonly #transports = new Map<number, FleetTransport>();
	readonly #paused = new Map<number, Held[]>();
	readonly #traffic: Array<{bytes: number; messages: number}>;
	readonly #due = new Map<number, Array<() => void>>();
	readonly #indexes = new Map<string, number>();
	#stepTimer: NodeJS.Timeout | undefined;
	#group = 0;

	constructor(plan: MemberFleetPlan) {
		this.#plan = plan;
		this.#pickNext = createRandom(plan.seed);
		this.#traffic = Array.from({length: plan.nodes}, () => ({bytes: 0, messages: 0}));
	}

	/** Starts all members with full knowledge of one another. */
	start(): void {
		const {nodes, serversPerNode} = this.#plan;
		const records = Array.from({length: nodes}, (_, index) => createNodeRecord(index, serversPerNode, 0));
		const base = new MemberTable(records[0]!);
		base.merge(records);
		const known = base.store.getState();
		records.forEach((_, index) => {
			this.add(index, 0, known);
		});
		this.#stepTimer = setInterval(() => {
			this.#runSteps();
		}, gossipPeriodMs / stepGroups);
	}

	stop(): void {
		clearInterval(this.#stepTimer);
	}

	/** Starts one run of a member. */
	add(index: number, incarnation: number, known?: MemberSnapshot): FleetMember {
		const record = createNodeRecord(index, this.#plan.serversPerNode, incarnation);
		const table = new MemberTable(record, known);
		const transport = new FleetTransport((to, message) => {
			this.#send(index, record.gossipAddress, to, message);
		});
		const seeds = [0, 1, 2, 3].map(seed => createNodeRecord((seed * 5) % this.#plan.nodes, 0, 0).gossipAddress);
		const membership = new Membership({
			table, transport, seeds, getRandomNumber: this.#pickNext,
		});
		transport.messages.registerListener(received => {
			membership.handleMessage(received);
		});
		this.#transports.set(index, transport);
		this.#indexes.set(record.gossipAddress.host, index);
		const member = {index, table, membership};
		this.members.set(index, member);
		return member;
	}

	/** Ends a member at once. */
	crash(index: number): void {
		this.members.delete(index);
		this.#transports.delete(index);
		this.#paused.delete(index);
	}

	pause(index: number): void {
		this.#paused.set(index, []);
	}

	resume(index: number): void {
		const held = this.#paused.get(index) ?? [];
		this.#paused.delete(index);
		this.members.get(index)?.membership.runStep();
		held.forEach(received => {
			this.#transports.get(index)?.messages.publish(received);
		});
	}

	/** Counts for each node since the last call. */
	takeTraffic(): readonly Traffic[] {
		return this.#traffic.map(traffic => {
			const taken = {...traffic};
			traffic.bytes = 0;
			traffic.messages = 0;
			return taken;
		});
	}

	/** A number of the fleet's own random sequence. */
	pickIndex(): number {
		return Math.floor(this.#pickNext() * this.#plan.nodes);
	}

	#runSteps(): void {
		this.#group = (this.#group + 1) % stepGroups;
		[...this.members.values()]
			.filter(({index}) => index % stepGroups === this.#group && !this.#paused.has(index))
			.forEach(({membership}) => {
				membership.runStep();
			});
	}

	#send(from: number, fromAddress: Address, toAddress: Address, message: MemberMessage): void {
		const bytes = encodeMessage(message);
		const traffic = this.#traffic[from]!;
		traffic.bytes += bytes.length + datagramOverheadBytes;
		traffic.messages++;
		const to = this.#indexes.get(toAddress.host);
		if (to === undefined || this.#pickNext() < this.loss || this.cuts.has(`${from}>${to}`)) {
			return;
		}

		const latencyMs = getRegion(from) === getRegion(to) ? domainLatencyMs : regionLatencyMs;
		this.#addDue(Math.round(performance.now()) + latencyMs, () => {
			this.#handleArrival(to, this.isDecoding ? decodeMessage(bytes).unsafeCoerce() : message, fromAddress);
		});
	}

	#addDue(at: number, run: () => void): void {
		const known = this.#due.get(at);
		if (known) {
			known.push(run);
			return;
		}

		this.#due.set(at, [run]);
		setTimeout(() => {
			const runs = this.#due.get(at) ?? [];
			this.#due.delete(at);
			runs.forEach(runOne => {
				runOne();
			});
		}, at - performance.now());
	}

	#handleArrival(to: number, message: MemberMessage, from: Address): void {
		const held = this.#paused.get(to);
		if (held) {
			held.push({message, from});
			return;
		}

		this.#transports.get(to)?.messages.publish({message, from});
	}
}

/** Time by the real clock, in milliseconds, also while fake time is installed. */
export const readRealTime: () => number = realPerformance.now.bind(realPerformance);
