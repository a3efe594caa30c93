/** Rate limits over all nodes: nodes report admitted requests to the caller's home node, which returns the balance. */
import {Left, type Either} from 'purify-ts';
import {type Failure} from '@limpetbarrow/core';
import {
	homeBurstMs, maxBuckets, maxDebtMs, minReportedRequests, msPerS, nearLimitReportIntervalMs, reportIntervalMs, reportRetryMs,
} from './constants.js';
import {
	createLimitFailure, LocalRateLimiter, RateLimiter, type LimitedCaller,
} from './rate-limiter.js';

/** Balance of a caller's account; negative when the caller is in debt. */
type Balance = {
	readonly permits: number;
	/** Monotonic time of the last change, in milliseconds. */
	readonly at: number;
};

/**
 * Accounts of the callers whose home is this node. An account is a token bucket with as many permits as a node may report
 * at once for a caller well within its rate limit. Its balance may be negative; nodes then refuse requests until the debt
 * is paid off.
 */
export class UsageAccounts {
	readonly #balances = new Map<string, Balance>();

	/** Deducts the requests that a node admitted and returns the permits left, negative in debt. */
	recordUsage({caller, rate}: LimitedCaller, used: number, now: number): number {
		const capacity = rate * homeBurstMs / msPerS;
		const {permits, at} = this.#balances.get(caller) ?? {permits: capacity, at: now};
		const filled = Math.min(capacity, permits + (Math.max(0, now - at) * rate / msPerS));
		const left = Math.max(-rate * maxDebtMs / msPerS, filled - used);
		setMostRecent(this.#balances, caller, {permits: left, at: now});
		return left;
	}
}

/** Reports admitted requests to the caller's home node. `handleBalance` gets the permits left, if the home node answers. */
export type ReportUsage<Caller extends LimitedCaller> = (caller: Caller, used: number, handleBalance: (permits: number, now: number) => void) => void;

/** Usage of one caller on this node. */
type CallerUsage = {
	/** Number of requests admitted but not yet reported. */
	readonly used: number;
	/** Monotonic time of the first of them, in milliseconds. */
	readonly usedSince: number;
	/** Monotonic time of the report in progress, in milliseconds; undefined when there is none. */
	readonly askedAt: number | undefined;
	/** True when the last known balance was below half of the account's capacity. */
	readonly isNearLimit: boolean;
	/** Monotonic time until which requests are refused, in milliseconds. */
	readonly refusedUntil: number;
};

/**
 * Limits callers by the local bucket of this node, and refuses their requests while their account at the home node is in
 * debt. While the home node doesn't answer, each node allows the full rate.
 */
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

/** True when enough requests are unreported, or the first of them is old enough, and no recent report is unanswered. */
function isReportDue({used, usedSince, askedAt, isNearLimit}: CallerUsage, {rate}: LimitedCaller, now: number): boolean {
	if (askedAt !== undefined && now - askedAt < reportRetryMs) {
		return false;
	}

	const batch = Math.max(isNearLimit ? 1 : minReportedRequests, rate * nearLimitReportIntervalMs / msPerS);
	return used >= batch || now - usedSince >= (isNearLimit ? nearLimitReportIntervalMs : reportIntervalMs);
}

/** Sets an entry as the most recent one and evicts the least recent one when there are too many. */
function setMostRecent<Value>(entries: Map<string, Value>, key: string, value: Value): void {
	entries.delete(key);
	entries.set(key, value);
	const [oldest] = entries.size > maxBuckets ? entries.keys() : [];
	if (oldest !== undefined) {
		entries.delete(oldest);
	}
}
