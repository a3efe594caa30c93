/** Checks that nodes keep to what backend servers named in responses that they passed on: a limit, and a departure. */
import {type Violation} from './promise-checker.js';

/** A request that reaches a backend server. */
export type ServerArrival = {
	readonly id: string;
	readonly serverId: string;
	/** Index of the host on which the request began. */
	readonly host: number;
	/** Monotonic times, in milliseconds, at which the caller sent it and at which it arrived. */
	readonly sentAt: number;
	readonly at: number;
};

/** What a backend server named in a response that a host passed on. */
export type NamedState = {
	readonly serverId: string;
	readonly isLeaving: boolean;
	readonly isLimited: boolean;
};

/** A limit that holds from a time on, in requests a second; undefined from its end on. */
type LimitStep = {
	readonly at: number;
	readonly perSecond: number | undefined;
};

/** Bounds of the users' pages: time until a limit binds, time until a host's response counts, and the span of the sum, in milliseconds. */
const contactMs = 4000;
const heardAfterMs = 500;
const sumSpanMs = 4000;
const allowedFactor = 1.5;
const allowedRequests = 5;

/** Keeps what hosts have heard and tells which arrivals break it. */
export class NamedStateChecker {
	readonly #drainMs: number;
	/** Times at which hosts first heard, by host and backend server. */
	readonly #leavingHeardAt = new Map<string, number>();
	readonly #limitHeardAt = new Map<string, number>();
	readonly #limitSteps = new Map<string, readonly LimitStep[]>();
	readonly #arrivals = new Map<string, readonly number[]>();

	constructor(drainMs: number) {
		this.#drainMs = drainMs;
	}

	/** Records that a backend server names another limit, or none. */
	recordLimit(serverId: string, perSecond: number | undefined, at: number): void {
		this.#limitSteps.set(serverId, [...this.#limitSteps.get(serverId) ?? [], {at, perSecond}]);
	}

	/** Records a response that a host passed on. */
	recordHeard(host: number, {serverId, isLeaving, isLimited}: NamedState, at: number): void {
		const key = `${host} ${serverId}`;
		if (isLeaving) {
			this.#leavingHeardAt.set(key, Math.min(at, this.#leavingHeardAt.get(key) ?? at));
		}

		if (isLimited) {
			this.#limitHeardAt.set(key, Math.min(at, this.#limitHeardAt.get(key) ?? at));
		}
	}

	/** Forgets what a host has heard: of limits after it was cut off, of departures too after it was restarted or paused. */
	forgetHost(host: number, isRestarted: boolean): void {
		[this.#limitHeardAt, ...(isRestarted ? [this.#leavingHeardAt] : [])].forEach(heard => {
			[...heard.keys()].filter(key => key.startsWith(`${host} `)).forEach(key => {
				heard.delete(key);
			});
		});
	}

	/** Records an arrival. Returns the promise that it breaks, if it does. */
	recordArrival(arrival: ServerArrival): Violation | undefined {
		const {id, serverId, host, sentAt, at} = arrival;
		const key = `${host} ${serverId}`;
		if (sentAt > (this.#leavingHeardAt.get(key) ?? Number.POSITIVE_INFINITY) + this.#drainMs) {
			return {promise: 'a node keeps away from a backend server that named its departure to it', id, detail: `${serverId}, host-${host}`};
		}

		return at - heardAfterMs >= (this.#limitHeardAt.get(key) ?? Number.POSITIVE_INFINITY) ? this.#checkLimit(arrival) : undefined;
	}

	#checkLimit({id, serverId, at}: ServerArrival): Violation | undefined {
		const steps = this.#limitSteps.get(serverId) ?? [];
		const isBound = steps.at(-1)?.perSecond !== undefined && at >= steps[0]!.at + contactMs;
		if (!isBound) {
			return undefined;
		}

		const recent = [...(this.#arrivals.get(serverId) ?? []).filter(other => other > at - sumSpanMs), at];
		this.#arrivals.set(serverId, recent);
		const allowed = (allowedFactor * this.#computeAllowedSum(steps, at)) + allowedRequests;
		return recent.length > allowed
			? {promise: 'a backend server gets no more than the limit that it names', id, detail: `${serverId}: ${recent.length} in ${sumSpanMs} ms, allowed ${allowed.toFixed(1)}`}
			: undefined;
	}

	/** Number of requests that the limits let through in the span before a time. */
	#computeAllowedSum(steps: readonly LimitStep[], until: number): number {
		const from = until - sumSpanMs;
		return steps.reduce((sum, {at, perSecond}, index) => {
			const end = Math.min(until, steps[index + 1]?.at ?? until);
			return sum + (Math.max(0, end - Math.max(from, at)) * (perSecond ?? Number.POSITIVE_INFINITY) / 1000);
		}, 0);
	}
}
