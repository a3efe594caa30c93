/** One attempt of a routed request at a backend server. */
import {type Exchange, type ResultName} from '@limpetbarrow/core';
import {type Candidate, type Tier} from '@limpetbarrow/choose';
import {type BufferedResponse} from './buffered-response.js';

/** An attempt in progress. */
export type Attempt = {
	readonly candidate: Candidate;
	readonly exchange: Exchange;
	readonly response: BufferedResponse;
	/** True once the body is sent: at once on this host, elsewhere when the egress accepts. The request can't run before. */
	readonly isBodySent: boolean;
	readonly acceptTimer: NodeJS.Timeout | undefined;
	readonly hedgeTimer: NodeJS.Timeout | undefined;
};

/** Time for a node to accept or refuse, in milliseconds, by distance: some round trips and a short stall; 0 is no limit. */
export const acceptTimeoutsMs: Readonly<Record<Tier, number>> = {
	host: 0, failureDomain: 150, region: 150, remote: 300,
};

/** Share of the objective after which a repeatable request is also sent to a second backend server. */
export const hedgeDelayShare = 0.6;

/** Failures after which the path to the node is avoided for a while. */
export const pathFailures: ReadonlySet<ResultName> = new Set(['linkUnreachable', 'linkLost']);
