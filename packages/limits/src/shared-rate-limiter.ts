/** Limits shared by all nodes: nodes report what they let in to the caller's home, which says when to refuse. */
import {Left, type Either} from 'purify-ts';
import {type Failure} from '@limpetbarrow/core';
import {
	homeBurstMs, maxBuckets, maxDebtMs, minReportedRequests, msPerS, nearLimitReportIntervalMs, reportIntervalMs, reportRetryMs,
} from './constants.js';
import {
	createLimitFailure, LocalRateLimiter, RateLimiter, type LimitedCaller,
} from './rate-limiter.js';

type Balance = {
	readonly permits: number;
	/** Monotonic time, in milliseconds. */
	readonly at: number;
};

/**
 * The one usage of each caller whose home this node is. It holds as many permits as a quiet node may report at once,
 * and may go below zero; nodes then refuse until the debt is paid.
 */
export class UsageAccounts {
	readonly #balances = new Map<string, Balance>();

	/** Books requests that a node let in; returns the permits left. */
	recordUsage({caller, rate}: LimitedCaller, used: number, now: number): number {
		const capacity = rate * homeBurstMs / msPerS;
		const {permits, at} = this.#balances.get(caller) ?? {permits: capacity, at: now};
		const filled = Math.min(capacity, permits + (Math.max(0, now - at) * rate / msPerS));
		const left = Math.max(-rate * maxDebtMs / msPerS, filled - used);
		setMostRecent(this.#balances, caller, {permits: left, at: now});
		return left;
	}
}

/** Reports requests to the caller's home; `handleBalance` gets the permits left unless the home does not answer. */
export type ReportUsage<Caller extends LimitedCaller> = (caller: Caller, used: number, handleBalance: (permits: number, now: number) => void) => void;

type CallerUsage = {
	/** Requests let in and not reported. */
	readonly used: number;
	/** Monotonic time of the first of them, in milliseconds. */
	readonly usedSince: number;
	/** Monotonic time of the report under way; undefined when there is none. */
	readonly askedAt: number | undefined;
	readonly isNearLimit: boolean;
	/** Monotonic time until which requests are refused, in milliseconds. */
	readonly refusedUntil: number;
};

/** Permits of a bucket of this node alone, unless the home says that the caller is beyond its terms. */
export class SharedRateLimiter<Caller extends LimitedCaller> extends RateLimiter {
	readonly #reportUsage: ReportUsage<Caller>;
	readonly #usageByCaller = new Map<string, CallerUsage>();
	readonly #local = new LocalRateLimiter();

	constructor(reportUsage: ReportUsage<Caller>) {
		super();
		this.#reportUsage = reportUsage;
	}

	override takePermit(terms: Caller, now: number): Either<Failure, void> {
		const usage = this.#usageByCaller.get(terms.caller);
		if (usage && now < usage.refusedUntil) {
			return Left(createLimitFailure(terms.rate, Math.ceil(usage.refusedUntil - now)));
		}

		return this.#local.takePermit(terms, now).ifRight(() => {
			this.#recordUsage(terms, now);
		});
	}

	#recordUsage(terms: Caller, now: number): void {
		const known = this.#usageByCaller.get(terms.caller);
		const isFresh = known !== undefined && now - known.usedSince <= homeBurstMs;
		const usage = {
			isNearLimit: false, refusedUntil: now, askedAt: undefined, ...known, used: (isFresh ? known.used : 0) + 1, usedSince: isFresh && known.used > 0 ? known.usedSince : now,
		};
		setMostRecent(this.#usageByCaller, terms.caller, usage);
		if (isReportDue(usage, terms, now)) {
			this.#report(terms, usage, now);
		}
	}

	#report(terms: Caller, usage: CallerUsage, now: number): void {
		setMostRecent(this.#usageByCaller, terms.caller, {...usage, used: 0, askedAt: now});
		this.#reportUsage(terms, usage.used, (permits, answeredAt) => {
			const current = this.#usageByCaller.get(terms.caller) ?? usage;
			setMostRecent(this.#usageByCaller, terms.caller, {
				...current,
				askedAt: undefined,
				isNearLimit: permits < terms.rate * homeBurstMs / msPerS / 2,
				refusedUntil: permits < 0 ? answeredAt - (permits / terms.rate * msPerS) : answeredAt,
			});
		});
	}
}

function isReportDue({used, usedSince, askedAt, isNearLimit}: CallerUsage, {rate}: LimitedCaller, now: number): boolean {
	if (askedAt !== undefined && now - askedAt < reportRetryMs) {
		return false;
	}

	const batch = Math.max(isNearLimit ? 1 : minReportedRequests, rate * nearLimitReportIntervalMs / msPerS);
	return used >= batch || now - usedSince >= (isNearLimit ? nearLimitReportIntervalMs : reportIntervalMs);
}

/** Sets an entry as the most recent one and drops the least recent when there are too many. */
function setMostRecent<Value>(entries: Map<string, Value>, key: string, value: Value): void {
	entries.delete(key);
	entries.set(key, value);
	const [oldest] = entries.size > maxBuckets ? entries.keys() : [];
	if (oldest !== undefined) {
		entries.delete(oldest);
	}
}
