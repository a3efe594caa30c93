/** Both users' requests, sent open loop through all nodes. */
import {setTimeout as wait} from 'node:timers/promises';
import {Caller, type CallerAnswer} from '@limpetbarrow/caller';
import {type SentRequest} from './ledger.js';

/** Services of both users. */
export const serviceNames = ['fitting-desk', 'catalogue', 'harvest-ledger', 'fleet-desk'] as const;

/** Services with requests that may not be repeated: shoe orders and payouts. */
const orderServices: ReadonlySet<string> = new Set(['fitting-desk', 'harvest-ledger']);

const orderPeriod = 3;
const msPerS = 1000;

/** How much to send. */
export type WorkloadPlan = {
	readonly requests: number;
	readonly ratePerS: number;
	/** Starts the tags, so that two workloads differ. */
	readonly label: string;
};

function hasOwnTag({text}: CallerAnswer, tag: string): boolean {
	try {
		return (JSON.parse(text) as {readonly tag?: string}).tag === tag;
	} catch {
		return false;
	}
}

async function sendOne(caller: Caller, index: number, tag: string): Promise<SentRequest> {
	const service = serviceNames[index % serviceNames.length]!;
	const isOrder = orderServices.has(service) && index % orderPeriod === 0;
	const answer = await caller.send({
		method: isOrder ? 'POST' : 'GET',
		path: `/${service}/${isOrder ? 'orders' : 'records'}/${index}`,
		...(isOrder && {body: JSON.stringify({item: index})}),
		headers: {'x-request-tag': tag},
	}, Math.floor(index / serviceNames.length));
	return {
		tag,
		service,
		isRepeatable: !isOrder,
		outcome: answer.ran === 'ran' ? 'whole' : answer.ran,
		code: answer.code,
		isOwnAnswer: hasOwnTag(answer, tag),
	};
}

/** Sends the workload and resolves once all requests are answered. */
export async function sendWorkload(origins: readonly string[], {requests, ratePerS, label}: WorkloadPlan): Promise<readonly SentRequest[]> {
	const caller = new Caller(origins);
	return Promise.all(Array.from({length: requests}, async (_, index) => {
		await wait(index * msPerS / ratePerS);
		return sendOne(caller, index, `${label}-${index}`);
	}));
}
