/** The limit that one backend server names, at the egress beside it. */
import {type LoadHint, type RequestHead} from '@limpetbarrow/core';
import {ServerRateLimit, type LimitedRequest} from '@limpetbarrow/admission';
import {type NamedLimit} from './server-protocol.js';

/** Called when the backend server names another limit; `perSecond` is undefined when it names none any more. */
export type ReportLimit = (limit: NamedLimit) => void;

/** The properties of a request that its place within a limit depends on. */
export type LimitedHead = Pick<RequestHead, 'priority' | 'earlierAttempts' | 'cause'>;

function toLimitedRequest({priority = Number.POSITIVE_INFINITY, earlierAttempts = 0, cause}: LimitedHead): LimitedRequest {
	return {priority, isRepeat: earlierAttempts > 0 || cause === 'repeatedCall'};
}

/**
 * Holds the sum of all nodes' requests within the limit. A process that has just started learns the limit from the first
 * response, or from the requests of nodes that know it.
 */
export class ServerLimit {
	readonly #reportLimit: ReportLimit;
	readonly #rateLimit = new ServerRateLimit();
	/** True once a response has shown whether the backend server names a limit. */
	#isHeard = false;

	constructor(reportLimit: ReportLimit) {
		this.#reportLimit = reportLimit;
	}

	/** Applies what a response of the backend server names. */
	applyNamedLimit(limit: NamedLimit): void {
		this.#isHeard = true;
		this.#applyLimit(limit);
	}

	/** Records a request that arrives, with the limit that it may tell. */
	recordRequest(head: RequestHead): void {
		if (!this.#isHeard && head.target.kind === 'egress' && head.target.knownLimit !== undefined) {
			this.#isHeard = true;
			this.#applyLimit({perSecond: head.target.knownLimit});
		}

		this.#rateLimit.recordDemand(toLimitedRequest(head), performance.now());
	}

	/** Time until a request may be sent, in milliseconds, if `ahead` others are sent before it; 0 if it may be sent now. */
	computeWait(request: LimitedHead, ahead = 0): number {
		return this.#rateLimit.computeWait(toLimitedRequest(request), ahead, performance.now());
	}

	/** Records that a request is sent to the backend server. */
	recordSend(): void {
		this.#rateLimit.recordSend(performance.now());
	}

	/** The part of the load that tells of the limit. */
	createHint(): Pick<LoadHint, 'limitPerSecond'> {
		const limitPerSecond = this.#rateLimit.findRate(performance.now());
		return limitPerSecond === undefined ? {} : {limitPerSecond};
	}

	#applyLimit(limit: NamedLimit): void {
		if (this.#rateLimit.applyLimit(limit.perSecond, performance.now())) {
			this.#reportLimit(limit);
		}
	}
}
