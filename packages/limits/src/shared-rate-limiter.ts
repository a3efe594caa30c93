/** Limits shared by all nodes: nodes report what they let in to the caller's home, which says when to refuse. */
import {Left, type Either} from 'purify-ts';
import {type Failure} from '@limpetbarrow/core';
import {
	homeCapacityMs, maxBuckets, maxDebtMs, minReport, msPerS, pressedReportMs, quietReportMs, reportRetryMs,
} from './constants.js';
import {
	createLimitFailure, LocalRateLimiter, RateLimiter, type LimitedCaller,
} from './rate-limiter.js';

type Level = {
	readonly permits: number;
	/** Monotonic time, in milliseconds. */
	readonly at: number;
};

/**
 * The one account of each caller whose home this node is. It holds as many permits as a quiet node may report at once,
 * and may go below zero; nodes then refuse until the debt is paid.
 */
export class UseAccounts {
	readonly #levels = new Map<string, Level>();

	/** Books requests that a node let in; returns the permits left. */
	recordUse({caller, rate}: LimitedCaller, used: number, now: number): number {
		const capacity = rate * homeCapacityMs / msPerS;
		const {permits, at} = this.#levels.get(caller) ?? {permits: capacity, at: now};
		const filled = Math.min(capacity, permits + (Math.max(0, now - at) * rate / msPerS));
		const left = Math.max(-rate * maxDebtMs / msPerS, filled - used);
		setRecent(this.#levels, caller, {permits: left, at: now});
		return left;
	}
}

/** Reports requests to the caller's home; `handleLevel` gets the permits left unless the home does not answer. */
export type ReportUse<Caller extends LimitedCaller> = (caller: Caller, used: number, handleLevel: (permits: number, now: number) => void) => void;

type Account = {
	/** Requests let in and not reported. */
	readonly used: number;
	/** Monotonic time of the first of them, in milliseconds. */
	readonly usedSince: number;
	/** Monotonic time of the report under way; undefined when there is none. */
	readonly askedAt: number | undefined;
	readonly isPressed: boolean;
	/** Monotonic time until which requests are refused, in milliseconds. */
	readonly refusedUntil: number;
};

/** Permits of a bucket of this node alone, unless the home says that the caller is beyond its terms. */
export class SharedRateLimiter<Caller extends LimitedCaller> extends RateLimiter {
	readonly #reportUse: ReportUse<Caller>;
	readonly #accounts = new Map<string, Account>();
	readonly #local = new LocalRateLimiter();

	constructor(reportUse: ReportUse<Caller>) {
		super();
		this.#reportUse = reportUse;
	}

	override takePermit(terms: Caller, now: number): Either<Failure, void> {
		const account = this.#accounts.get(terms.caller);
		if (account && now < account.refusedUntil) {
			return Left(createLimitFailure(terms.rate, Math.ceil(account.refusedUntil - now)));
		}

		return this.#local.takePermit(terms, now).ifRight(() => {
			this.#recordUse(terms, now);
		});
	}

	#recordUse(terms: Caller, now: number): void {
		const known = this.#accounts.get(terms.caller);
		const isFresh = known !== undefined && now - known.usedSince <= homeCapacityMs;
		const account = {
			isPressed: false, refusedUntil: now, askedAt: undefined, ...known, used: (isFresh ? known.used : 0) + 1, usedSince: isFresh && known.used > 0 ? known.usedSince : now,
		};
		setRecent(this.#accounts, terms.caller, account);
		if (isDue(account, terms, now)) {
			this.#report(terms, account, now);
		}
	}

	#report(terms: Caller, account: Account, now: number): void {
		setRecent(this.#accounts, terms.caller, {...account, used: 0, askedAt: now});
		this.#reportUse(terms, account.used, (permits, answeredAt) => {
			const current = this.#accounts.get(terms.caller) ?? account;
			setRecent(this.#accounts, terms.caller, {
				...current,
				askedAt: undefined,
				isPressed: permits < terms.rate * homeCapacityMs / msPerS / 2,
				refusedUntil: permits < 0 ? answeredAt - (permits / terms.rate * msPerS) : answeredAt,
			});
		});
	}
}

function isDue({used, usedSince, askedAt, isPressed}: Account, {rate}: LimitedCaller, now: number): boolean {
	if (askedAt !== undefined && now - askedAt < reportRetryMs) {
		return false;
	}

	const batch = Math.max(isPressed ? 1 : minReport, rate * pressedReportMs / msPerS);
	return used >= batch || now - usedSince >= (isPressed ? pressedReportMs : quietReportMs);
}

/** Sets an entry as the most recent one and drops the least recent when there are too many. */
function setRecent<Value>(entries: Map<string, Value>, key: string, value: Value): void {
	entries.delete(key);
	entries.set(key, value);
	const [oldest] = entries.size > maxBuckets ? entries.keys() : [];
	if (oldest !== undefined) {
		entries.delete(oldest);
	}
}
