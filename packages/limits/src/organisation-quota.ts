/** The permits of one organisation at one node: stock, questions to homes, and requests that wait for the answers. */
import {Left, Right, type Either} from 'purify-ts';
import {type Failure} from '@limpetbarrow/core';
import {
	maxQuotaWaitMs, msPerS, quotaAskTimeoutMs, quotaProvisionalShare, quotaRelayTimeoutMs, quotaSettleMs, quotaSilenceMs,
} from './constants.js';
import {PermitDemand, PermitStock} from './permit-stock.js';
import {type QuotaAnswer} from './quota-book.js';
import {createLimitFailure} from './rate-limiter.js';

/** An organisation and its quota over all nodes. */
export type OrganisationLimit = {
	readonly organisation: string;
	/** Requests per second. */
	readonly rate: number;
	/** Requests that may be saved up. */
	readonly burst: number;
};

/** Gets the result for one request: a permit, or `limitExceeded`. */
export type HandlePermit = (result: Either<Failure, void>) => void;

/** Gets the answer of a home. */
export type HandleQuotaAnswer = (answer: QuotaAnswer) => void;

/** Carries questions to homes. */
export abstract class QuotaTransport {
	/**
	 * Asks the home of the given rank, 0 or 1, for permits. Calls `handleAnswer` when the answer arrives, at once if this node
	 * is the home, or never; answers after the first are ignored. `number` is the same for all attempts of one question; with it
	 * the home repeats its answer instead of granting twice.
	 */
	abstract askHome(...question: readonly [rank: number, organisation: string, wanted: number, handleAnswer: HandleQuotaAnswer, number: number]): void;

	/** Counts the known members, dead ones included. */
	abstract countMembers(): number;
}

/** A request that waits for an answer. */
export type WaitingRequest = {
	readonly handleResult: HandlePermit;
};

/** What the parts of one client share. */
export type QuotaContext = {
	readonly transport: QuotaTransport;
	/** Requests of all organisations that wait. */
	readonly waiting: Set<WaitingRequest>;
	readonly maxWaiting: number;
	/** Returns a number from 0 up to 1. */
	readonly random: () => number;
	/** Returns a number for the next question. */
	readonly issueNumber: () => number;
};

/** A question, which takes several attempts. */
type Question = {
	readonly number: number;
	readonly wanted: number;
	/** Ranks of the homes that have answered. */
	readonly answeredRanks: Set<number>;
	/** Wait given by a home that had not settled and referred to the other one, in milliseconds. */
	readonly unsettledWaitMs?: number;
};

/** The attempt in progress. */
type Attempt = Question & {
	readonly rank: number;
	readonly timer: NodeJS.Timeout;
};

/** The permits of one organisation at one node. */
export class OrganisationQuota {
	readonly #context: QuotaContext;
	readonly #stock = new PermitStock();
	readonly #demand = new PermitDemand();
	readonly #waiting = new Set<WaitingRequest>();
	#limit: OrganisationLimit;
	#attempt: Attempt | undefined;
	#refusedUntil = -Infinity;
	/** Time from which permits may be asked ahead. */
	#aheadAt = -Infinity;
	/** Time until which the first-ranked home is asked last. */
	#silentUntil = -Infinity;
	/** Time until which this node spends its own share, and since which no home has answered. */
	#lostUntil = -Infinity;
	#lostSince: number | undefined;
	#ownPermits: number;
	#ownAt = -Infinity;

	constructor(limit: OrganisationLimit, context: QuotaContext) {
		this.#limit = limit;
		this.#context = context;
		// Nodes begin at different parts of a permit, so that together they spend their shares and not one permit each at once.
		this.#ownPermits = context.random();
	}

	/** Takes a permit, refuses, or adds the request to those that wait; returns the latter. */
	takePermit(limit: OrganisationLimit, now: number, handleResult: HandlePermit): WaitingRequest | undefined {
		this.#setLimit(limit, now);
		if (this.#waiting.size === 0 && this.#stock.takePermit(now)) {
			this.#demand.recordPermits(1, now);
			this.#askAhead(now);
			handleResult(Right(undefined));
			return undefined;
		}

		if (now < this.#refusedUntil) {
			handleResult(Left(this.#createFailure(this.#refusedUntil - now)));
			return undefined;
		}

		if (now < this.#lostUntil) {
			handleResult(this.#takeOwnPermit(now));
			return undefined;
		}

		return this.#addWaiting({handleResult}, now);
	}

	/** Returns the permit of a request that didn't run to the stock, as far as this node is expected to use it. */
	returnPermit(now: number): void {
		this.#demand.recordPermits(-1, now);
		this.#stock.addPermits(1, now);
		this.#dispatchStock(now);
		this.#stock.sweepAbove(Math.max(1, this.#computeAhead(now)), now);
	}

	/** Removes a waiting request; its permit goes to the next one or into the stock. */
	cancelRequest(request: WaitingRequest): void {
		this.#waiting.delete(request);
		this.#context.waiting.delete(request);
	}

	/** Ends the question and refuses the requests that wait. */
	close(): void {
		clearTimeout(this.#attempt?.timer);
		this.#attempt = undefined;
		this.#refuseWaiting(() => Left(this.#createFailure(quotaAskTimeoutMs)));
	}

	#setLimit(limit: OrganisationLimit, now: number): void {
		const isLowered = limit.rate < this.#limit.rate || limit.burst < this.#limit.burst;
		this.#limit = limit;
		if (isLowered) {
			this.#stock.sweepAbove(this.#computeAhead(now), now);
		}
	}

	#addWaiting(request: WaitingRequest, now: number): WaitingRequest | undefined {
		const {rate, burst} = this.#limit;
		const {waiting, maxWaiting} = this.#context;
		// One organisation leaves half of the places to the others; above its burst and rate, a request can't get a permit in time.
		const maxOwnWaiting = Math.min(maxWaiting / 2, 1 + burst + rate);
		if (waiting.size >= maxWaiting || this.#waiting.size >= maxOwnWaiting) {
			request.handleResult(Left(this.#createFailure(quotaAskTimeoutMs)));
			return undefined;
		}

		this.#waiting.add(request);
		waiting.add(request);
		if (!this.#attempt) {
			this.#ask(now);
		}

		return request;
	}

	#askAhead(now: number): void {
		const ahead = this.#computeAhead(now);
		const isDue = this.#stock.countPermits(now) <= ahead / 2;
		if (ahead > 0 && isDue && !this.#attempt && now >= this.#aheadAt && now >= this.#lostUntil) {
			this.#ask(now);
		}
	}

	#ask(now: number): void {
		const ahead = now < this.#aheadAt ? 0 : this.#computeAhead(now);
		const wanted = Math.max(1, this.#waiting.size + ahead - this.#stock.countPermits(now));
		this.#sendQuestion(now < this.#silentUntil ? [1, 0] : [0, 0, 1], {wanted, number: this.#context.issueNumber(), answeredRanks: new Set()});
	}

	/** Asks the homes of the given ranks in turn until one answers. */
	#sendQuestion([rank, ...nextRanks]: readonly number[], question: Question): void {
		if (rank === undefined) {
			this.#handleSilence(question.unsettledWaitMs, performance.now());
			return;
		}

		const timer = setTimeout(() => {
			if (rank === 0 && !nextRanks.includes(0)) {
				this.#silentUntil = performance.now() + quotaSilenceMs;
			}

			this.#sendQuestion(nextRanks, question);
		}, rank === 0 ? quotaAskTimeoutMs : quotaRelayTimeoutMs);
		this.#attempt = {...question, rank, timer};
		const {wanted, number, answeredRanks} = question;
		this.#context.transport.askHome(rank, this.#limit.organisation, wanted, answer => {
			if (!answeredRanks.has(rank)) {
				answeredRanks.add(rank);
				this.#handleAnswer({...answer, granted: Math.max(0, Math.min(wanted, answer.granted))}, rank, number);
			}
		}, number);
	}

	/**
	 * Handles the first answer of a home to a question. One that comes when the other home is being asked only adds to the stock.
	 * A home that has not settled refers to the other one.
	 */
	#handleAnswer({granted, waitMs, isSettled}: QuotaAnswer, rank: number, number: number): void {
		const now = performance.now();
		this.#silentUntil = rank === 0 ? -Infinity : this.#silentUntil;
		const attempt = this.#attempt;
		this.#stock.addPermits(granted, now);
		if (attempt?.number !== number || attempt.rank !== rank) {
			this.#dispatchStock(now);
			this.#stock.sweepAbove(this.#computeAhead(now), now);
			return;
		}

		clearTimeout(attempt.timer);
		this.#attempt = undefined;
		this.#lostSince = undefined;
		const missing = attempt.wanted - granted;
		if (missing > 0 && !isSettled && attempt.unsettledWaitMs === undefined) {
			this.#sendQuestion([1 - rank], {
				number, wanted: missing, answeredRanks: attempt.answeredRanks, unsettledWaitMs: waitMs,
			});
			this.#dispatchStock(now);
			return;
		}

		this.#finishQuestion(missing, waitMs, now);
	}

	/** Requests are refused only if some are left without a permit; else just the permits asked ahead are missing. */
	#finishQuestion(missing: number, waitMs: number, now: number): void {
		this.#dispatchStock(now);
		if (missing > 0) {
			this.#aheadAt = now + waitMs;
			this.#refusedUntil = this.#waiting.size > 0 ? now + waitMs : this.#refusedUntil;
			this.#refuseWaiting(() => Left(this.#createFailure(waitMs)));
		} else if (this.#waiting.size > 0 && !this.#attempt) {
			this.#ask(now);
		}
	}

	/** Handles that no home answered: this node spends its own share for a second. */
	#handleSilence(unsettledWaitMs: number | undefined, now: number): void {
		this.#attempt = undefined;
		if (unsettledWaitMs !== undefined) {
			this.#finishQuestion(1, unsettledWaitMs, now);
			return;
		}

		// After a time without requests it isn't known whether a home would have answered in between.
		this.#lostSince = now - this.#lostUntil > quotaSilenceMs ? now : this.#lostSince ?? now;
		this.#lostUntil = now + quotaSilenceMs;
		this.#refuseWaiting(() => this.#takeOwnPermit(now));
	}

	/** Takes a permit of this node's own share: only part of it until a home would know that this node can't reach it. */
	#takeOwnPermit(now: number): Either<Failure, void> {
		const {rate, burst} = this.#limit;
		const members = Math.max(1, this.#context.transport.countMembers());
		const since = this.#lostSince ?? now;
		const ownRate = rate / members * (now - since < quotaSettleMs ? quotaProvisionalShare : 1);
		const elapsed = Math.max(0, now - Math.max(this.#ownAt, since));
		const filled = Math.min(Math.max(1, burst / members), this.#ownPermits + (elapsed * ownRate / msPerS));
		this.#ownPermits = filled >= 1 ? filled - 1 : filled;
		this.#ownAt = now;
		return filled >= 1 ? Right(undefined) : Left(this.#createFailure(Math.min(maxQuotaWaitMs, (1 - filled) / ownRate * msPerS)));
	}

	/** Gives permits in stock to the requests that wait, in order. */
	#dispatchStock(now: number): void {
		const served = [...this.#waiting].slice(0, this.#stock.countPermits(now)).filter(() => this.#stock.takePermit(now));
		this.#demand.recordPermits(served.length, now);
		this.#finishRequests(served, () => Right(undefined));
	}

	#refuseWaiting(getResult: () => Either<Failure, void>): void {
		this.#finishRequests([...this.#waiting], getResult);
	}

	/** Calls back each request once; those that were cancelled by an earlier callback are passed over. */
	#finishRequests(requests: readonly WaitingRequest[], getResult: () => Either<Failure, void>): void {
		requests.forEach(request => {
			if (this.#waiting.has(request)) {
				this.cancelRequest(request);
				request.handleResult(getResult());
			}
		});
	}

	#computeAhead(now: number): number {
		return this.#demand.computeAhead(this.#limit.rate, now);
	}

	/** The delay varies by half, so that callers don't return at the same time. */
	#createFailure(waitMs: number): Failure {
		return createLimitFailure(this.#limit.rate, Math.ceil(waitMs * (1 + (this.#context.random() / 2))));
	}
}
