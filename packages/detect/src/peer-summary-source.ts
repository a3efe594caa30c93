/** Source of the summaries of a service's other backend servers. */
import {type ServerSummary} from './types.js';

/** Fetches summaries from peers: nodes that run the same service. */
export abstract class PeerSummarySource {
	/** Fetches the summaries of `peers` random peers, without those that don't answer in time. The promise never rejects. */
	abstract fetchSummaries(service: string, peers: number): Promise<readonly ServerSummary[]>;
}
