/** Both users' requests, sent open loop through all nodes. */
import {setTimeout as wait} from 'node:timers/promises';
import {FleetCaller, type FleetAnswer, type FleetFailure} from '@limpetbarrow/caller';
import {foldResult} from '@limpetbarrow/core';
import {type SentRequest} from './ledger.js';

/** Services of both users. */
export const serviceNames = ['fitting-desk', 'catalogue', 'harvest-ledger', 'fleet-desk'] as const;

/** Services with requests that may not be repeated: shoe orders and payouts. */
const orderServices: ReadonlySet<string> = new Set(['fitting-desk', 'harvest-ledger']);

const orderPeriod = 3;
const msPerS = 1000;

/** Who sends. */
export type Workforce = {
	/** Base URLs of the nodes' ingresses. */
	readonly origins: readonly string[];
	readonly organisation: string;
	readonly secret: string;
	readonly callers: number;
};

/** How much to send. */
export type WorkloadPlan = {
	readonly requests: number;
	readonly ratePerS: number;
	/** Starts the tags, so that two workloads differ. */
	readonly label: string;
};

function hasOwnTag({text}: FleetAnswer, tag: string): boolean {
	try {
		return (JSON.parse(text) as {readonly tag?: string}).tag === tag;
	} catch {
		return false;
	}
}

async function sendOne(caller: FleetCaller, index: number, tag: string): Promise<SentRequest> {
	const service = serviceNames[index % serviceNames.length]!;
	const isOrder = orderServices.has(service) && index % orderPeriod === 0;
	const request = {
		method: isOrder ? 'POST' : 'GET',
		path: `/${service}/${isOrder ? 'orders' : 'records'}/${index}`,
		...(isOrder && {body: JSON.stringify({item: index})}),
		headers: {'x-request-tag': tag},
	} as const;
	const result = isOrder ? await caller.sendOnce(request) : await caller.send(request);
	const sent = {tag, service, isRepeatable: !isOrder};
	return foldResult<FleetFailure, FleetAnswer, SentRequest>(
		result,
		({ran, code}) => ({
			...sent, outcome: ran === 'not-run' ? 'not-run' : 'unknown', code, isOwnAnswer: false,
		}),
		answer => ({
			...sent, outcome: 'whole', code: undefined, isOwnAnswer: hasOwnTag(answer, tag),
		}),
	);
}

/** Sends the workload and resolves once all requests are answered; orders carry idempotency keys. */
export async function sendWorkload({origins, organisation, secret, callers}: Workforce, {requests, ratePerS, label}: WorkloadPlan): Promise<readonly SentRequest[]> {
	const force = Array.from({length: callers}, () => new FleetCaller({origins, credentials: {organisation, secret}}));
	return Promise.all(Array.from({length: requests}, async (_, index) => {
		await wait(index * msPerS / ratePerS);
		return sendOne(force[Math.floor(index / serviceNames.length) % callers]!, index, `${label}-${index}`);
	}));
}
