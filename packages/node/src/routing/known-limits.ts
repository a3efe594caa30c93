/** Limits of backend servers as this node knows them from the responses that it passed on. */
import {type LoadHint} from '@limpetbarrow/core';
import {ServerRateLimit, type LimitedRequest} from '@limpetbarrow/admission';
import {type NamedLimit} from '../backend/server-protocol.js';

/** What a response tells of its backend server. */
export type LimitReport = {
	readonly serverId: string;
	readonly limit: NamedLimit;
	/** Load that the egress sent along; it names the limit if the egress holds it. */
	readonly load: LoadHint | undefined;
	/** Number of nodes that share the limit. */
	readonly nodes: number;
};

type KnownLimit = {
	readonly perSecond: number;
	readonly heardAt: number;
	/** True if the egress holds the sum over all nodes. */
	readonly isHeldByEgress: boolean;
	/** Holds this node's share of the limit. */
	readonly share: ServerRateLimit;
};

/** Largest number of backend servers whose limits are kept. */
const maxKnownLimits = 4096;
/** Age from which a limit is no longer told to an egress that doesn't know it, in milliseconds. */
const maxToldAgeMs = 30_000;
/** A share has no burst: the bursts of many nodes would add up. */
const shareBurst = {requests: 1, spanMs: 0};

/**
 * Keeps the limits that backend servers name. The egress beside a backend server sees all its requests and holds the sum; where
 * it doesn't, as its build is older, each node holds an equal share. A backend server that names no limit takes no memory.
 */
export class KnownLimits {
	readonly #limits = new Map<string, KnownLimit>();

	/** Records what a response names. */
	recordResponse(report: LimitReport, now: number): void {
		const {serverId, limit: {perSecond}, load, nodes} = report;
		const known = this.#limits.get(serverId);
		if (perSecond === undefined) {
			this.#endLimit(serverId, known, now);
			return;
		}

		const share = known?.share ?? new ServerRateLimit(shareBurst);
		share.applyLimit(perSecond / Math.max(1, nodes), now);
		this.#limits.delete(serverId);
		this.#limits.set(serverId, {
			perSecond, heardAt: now, isHeldByEgress: load?.limitPerSecond !== undefined, share,
		});
		const [oldest] = this.#limits.keys();
		if (this.#limits.size > maxKnownLimits && oldest !== undefined) {
			this.#limits.delete(oldest);
		}
	}

	/** The limit to tell an egress with a request, in requests a second; undefined if there is none or it is old. */
	findToldLimit(serverId: string, now: number): number | undefined {
		const known = this.#limits.get(serverId);
		return known && known.share.isActive(now) && now - known.heardAt < maxToldAgeMs ? known.perSecond : undefined;
	}

	/** Time until this node's share lets a request be sent, in milliseconds; 0 if it may be now, or the egress holds the limit. */
	computeWait(serverId: string, request: LimitedRequest, now: number): number {
		const known = this.#limits.get(serverId);
		return known === undefined || known.isHeldByEgress ? 0 : known.share.computeWait(request, 0, now);
	}

	/** Records that a request is sent to the backend server. */
	recordSend(serverId: string, now: number): void {
		this.#limits.get(serverId)?.share.recordSend(now);
	}

	#endLimit(serverId: string, known: KnownLimit | undefined, now: number): void {
		known?.share.applyLimit(undefined, now);
		if (known && !known.share.isActive(now)) {
			this.#limits.delete(serverId);
		}
	}
}
