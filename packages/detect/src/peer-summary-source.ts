/** Where a node gets the summaries of a service's other backend servers. */
import {type ServerSummary} from './types.js';

/** Asks peers that run the same service. */
export abstract class PeerSummarySource {
	/** Asks as many peers, picked at random; those that don't answer in time are left out. Never rejects. */
	abstract fetchSummaries(service: string, peers: number): Promise<readonly ServerSummary[]>;
}
