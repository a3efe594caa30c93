/** Quotas of organisations over all nodes, as each node applies them to its requests. */
import {Right} from 'purify-ts';
import {maxQuotaEntries, maxQuotaWaiting} from './constants.js';
import {
	OrganisationQuota, type HandlePermit, type OrganisationLimit, type QuotaContext, type QuotaTransport, type WaitingRequest,
} from './organisation-quota.js';

const maxNumber = 2 ** 32;

/** Limits of a client, for tests. */
export type QuotaClientOptions = {
	readonly maxEntries?: number;
	readonly maxWaiting?: number;
	readonly random?: () => number;
};

/** Gives up a request that waits; does nothing once its result was given. */
export type CancelPermit = () => void;

/**
 * Takes permits from the homes of organisations. The least recently used organisation is dropped, with its stock, when there
 * are too many.
 */
export class QuotaClient {
	readonly #context: QuotaContext;
	readonly #maxEntries: number;
	readonly #quotas = new Map<string, OrganisationQuota>();

	constructor(transport: QuotaTransport, {maxEntries = maxQuotaEntries, maxWaiting = maxQuotaWaiting, random = Math.random}: QuotaClientOptions = {}) {
		this.#maxEntries = maxEntries;
		// Numbers of a restarted process differ from those that homes remember.
		let number = Math.floor(random() * maxNumber);
		this.#context = {
			transport, maxWaiting, random, waiting: new Set(),
			issueNumber() {
				number = (number + 1) % maxNumber;
				return number;
			},
		};
	}

	/**
	 * Takes a permit for one request. `handleResult` is called once: before this method returns when a permit is in stock or
	 * the organisation is known to be exhausted, else when a home has answered or all attempts have failed, within 600 ms
	 * for each question. `now` is that of `performance.now()`. A rate of 0 is unlimited.
	 */
	takePermit(limit: OrganisationLimit, now: number, handleResult: HandlePermit): CancelPermit {
		if (limit.rate <= 0) {
			handleResult(Right(undefined));
			return () => undefined;
		}

		const quota = this.#getQuota(limit);
		const request: WaitingRequest | undefined = quota.takePermit(limit, now, handleResult);
		return () => {
			if (request) {
				quota.cancelRequest(request);
			}
		};
	}

	/** Returns the permit of a request that was admitted and didn't run. */
	returnPermit(organisation: string, now: number): void {
		this.#quotas.get(organisation)?.returnPermit(now);
	}

	/** Counts the organisations with state. */
	countEntries(): number {
		return this.#quotas.size;
	}

	/** Counts the requests that wait for answers. */
	countWaiting(): number {
		return this.#context.waiting.size;
	}

	#getQuota(limit: OrganisationLimit): OrganisationQuota {
		const quota = this.#quotas.get(limit.organisation) ?? new OrganisationQuota(limit, this.#context);
		this.#quotas.delete(limit.organisation);
		this.#quotas.set(limit.organisation, quota);
		const [oldest] = this.#quotas.size > this.#maxEntries ? this.#quotas : [];
		if (oldest) {
			this.#quotas.delete(oldest[0]);
			oldest[1].close();
		}

		return quota;
	}
}
