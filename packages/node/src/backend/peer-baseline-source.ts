/** Fetches health summaries of backend servers from other nodes' egresses, over the links that carry requests. */
import {Buffer} from 'node:buffer';
import * as z from 'zod';
import {pickRandom, type Carrier} from '@limpetbarrow/core';
import {PeerSummarySource, confirmTimeoutMs, type ServerSummary} from '@limpetbarrow/detect';
import {type FindEgress} from '../routing/forwarder.js';
import {fetchInternal} from '../routing/internal-fetch.js';
import {type ServerDirectory} from '../routing/server-directory.js';

/**
 * Path at which an egress serves its summaries. Callers can't reach it, since an ingress forwards no request for a
 * reserved path.
 */
export const summariesPath = '/.limpetbarrow/summaries';

const maxSummariesBytes = 65_536;
const maxBuckets = 100;
const maxSummaries = 64;

const countSchema = z.number().min(0).max(Number.MAX_SAFE_INTEGER);
const summariesSchema = z.array(z.object({
	normal: z.object({requests: countSchema, failures: countSchema, durations: z.array(countSchema).max(maxBuckets)}),
	windows: z.array(z.object({
		requests: countSchema, bad: countSchema, failures: countSchema, slow: countSchema,
	})).max(maxBuckets),
})).max(maxSummaries);

function parseSummaries(body: Uint8Array): readonly ServerSummary[] {
	try {
		const result = summariesSchema.safeParse(JSON.parse(Buffer.from(body).toString()));
		return result.success ? result.data : [];
	} catch {
		return [];
	}
}

/** Fetches the summaries of one egress; returns an empty list when it fails or does not answer in time. */
async function fetchSummariesFrom(carrier: Carrier, service: string): Promise<readonly ServerSummary[]> {
	const answer = await fetchInternal(carrier, {
		service, path: summariesPath, timeoutMs: confirmTimeoutMs, maxBytes: maxSummariesBytes,
	});
	return answer.map(body => parseSummaries(body)).orDefault([]);
}

/** Asks randomly picked nodes that have a ready or warming backend server of the service. */
export class PeerBaselineSource extends PeerSummarySource {
	readonly #selfId: string;
	readonly #directory: ServerDirectory;
	readonly #findEgress: FindEgress;

	constructor(selfId: string, directory: ServerDirectory, findEgress: FindEgress) {
		super();
		this.#selfId = selfId;
		this.#directory = directory;
		this.#findEgress = findEgress;
	}

	override async fetchSummaries(service: string, peerCount: number): Promise<readonly ServerSummary[]> {
		const activeServers = this.#directory.listCandidates(service)
			.filter(({nodeId, server}) => nodeId !== this.#selfId && (server.state === 'ready' || server.state === 'warming'));
		const nodeIds = pickRandom([...new Set(activeServers.map(({nodeId}) => nodeId))], peerCount);
		const carriers = nodeIds.flatMap(nodeId => this.#findEgress(nodeId) ?? []);
		const summaries = await Promise.all(carriers.map(async carrier => fetchSummariesFrom(carrier, service)));
		return summaries.flat();
	}
}
