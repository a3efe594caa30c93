/** Fetches configurations from other nodes when this node's own access to the platform is slower or cut off. */
import {Buffer} from 'node:buffer';
import {Left} from 'purify-ts';
import {
	Carrier, createFailure, reservedPathPrefix, type Exchange, type ExchangeHandler, type Failure, type LogFields, type Logger, type RequestHead,
} from '@limpetbarrow/core';
import {type Member, type MemberTable} from '@limpetbarrow/members';
import {encodeConfiguration, parseConfiguration, type ReleaseState} from '@limpetbarrow/releases';
import {answerExchange} from '../routing/closed-exchange.js';
import {type FindEgress} from '../routing/forwarder.js';
import {fetchInternal} from '../routing/internal-fetch.js';

/** Path at which a node serves its configuration. */
export const configurationPath = `${reservedPathPrefix}configuration`;

/** Dependencies of the fetcher. */
export type PeerConfigurationFetcherOptions = {
	readonly table: MemberTable;
	readonly state: ReleaseState;
	readonly findEgress: FindEgress;
	/** Returns the newest release that is known to exist; by default, that of the members' records. */
	readonly getHeardRelease?: () => number;
	/** True while this node learns of changes by its own watch on the platform. */
	readonly isWatching: () => boolean;
	/** Starts a read of the platform; called when no other node supplies the configuration that this one lacks. */
	readonly readPlatform: () => void;
	/** Returns what this node knows of how current its configuration is, for log lines. */
	readonly getKnowledge?: () => LogFields;
	readonly logger: Logger;
	readonly random?: () => number;
};

/** Time between two checks of the releases that other nodes have in force, in milliseconds. */
const checkPeriodMs = 400;
/**
 * Time for which a node that watches the platform must lag behind another one before it asks that one, in milliseconds;
 * in most cases its own watch delivers the change first.
 */
const watchGraceMs = 400;
const fetchTimeoutMs = 1500;
/** Nodes that are asked at the same time, one more at each check while none of them has begun to answer. */
const maxFetches = 3;
/** Time for which a node that failed to answer is passed over while there are others, in milliseconds. */
const failurePeriodMs = 5000;
/**
 * Time for which a node lags behind others before it reads the platform itself, in milliseconds: its connections to them may
 * be cut, those that have the release may be gone, and its own watch may be silent.
 */
const maxLagMs = 800;
const maxConfigurationBytes = 16_777_216;

/** Serves the configuration to other nodes. */
export class ConfigurationCarrier extends Carrier {
	readonly #state: ReleaseState;

	constructor(state: ReleaseState) {
		super();
		this.#state = state;
	}

	override openExchange(_head: RequestHead, handler: ExchangeHandler): Exchange {
		return answerExchange(handler, encodeConfiguration(this.#state.getConfiguration()));
	}
}

/** A fetch in progress. */
type PeerFetch = {
	/** True once the response has begun. */
	isStarted: boolean;
	readonly abortController: AbortController;
};

/** Fetches newer configurations from the nodes that have them in force, preferably from this node's failure domain. */
export class PeerConfigurationFetcher {
	readonly #options: PeerConfigurationFetcherOptions;
	#timer: NodeJS.Timeout | undefined;
	#laggingSince: number | undefined;
	/** Fetches in progress, by the id of the node that is asked. */
	readonly #fetches = new Map<string, PeerFetch>();
	/** Monotonic times until which nodes that failed to answer are passed over, in milliseconds. */
	#failedUntil: ReadonlyMap<string, number> = new Map();
	/** Newest release that was logged as heard of. */
	#loggedRelease = 0;

	constructor(options: PeerConfigurationFetcherOptions) {
		this.#options = options;
	}

	start(): void {
		this.#timer = setInterval(() => {
			this.#check(performance.now());
		}, checkPeriodMs);
	}

	stop(): void {
		clearInterval(this.#timer);
	}

	#check(now: number): void {
		this.#logHeardRelease();
		const newestMembers = this.#listNewestMembers();
		const {table, state, isWatching, readPlatform, getHeardRelease = () => table.getHeardRelease()} = this.#options;
		this.#laggingSince = getHeardRelease() > state.getNumber() ? this.#laggingSince ?? now : undefined;
		if (this.#laggingSince !== undefined && now - this.#laggingSince >= maxLagMs) {
			readPlatform();
		}

		const graceMs = state.getNumber() > 0 && isWatching() ? watchGraceMs : 0;
		if (this.#laggingSince !== undefined && now - this.#laggingSince >= graceMs && this.#isAnotherAsked()) {
			this.#askAnother(newestMembers, now);
		}
	}

	/** True while no node that is asked has begun to answer, and few are asked: a node that gives no answer may be gone. */
	#isAnotherAsked(): boolean {
		return this.#fetches.size < maxFetches && ![...this.#fetches.values()].some(({isStarted}) => isStarted);
	}

	/** Asks one of the nodes, preferably one that has not failed lately, and among those one of this failure domain. */
	#askAnother(members: readonly Member[], now: number): void {
		const {table, random = Math.random} = this.#options;
		const {failureDomain} = table.getSelf().placement;
		const unasked = members.filter(({record}) => !this.#fetches.has(record.id));
		const sound = unasked.filter(({record}) => (this.#failedUntil.get(record.id) ?? now) <= now);
		const near = sound.filter(({record}) => record.placement.failureDomain === failureDomain);
		const candidates = [near, sound, unasked].find(group => group.length > 0) ?? [];
		const member = candidates[Math.floor(random() * candidates.length)];
		if (member) {
			void this.#fetchFromMember(member);
		}
	}

	/** Logs once for each release that others name before it is in force here. */
	#logHeardRelease(): void {
		const {table, state, logger, getKnowledge = () => ({}), getHeardRelease = () => table.getHeardRelease()} = this.#options;
		const heard = getHeardRelease();
		if (heard > Math.max(state.getNumber(), this.#loggedRelease)) {
			this.#loggedRelease = heard;
			logger.log('releaseHeard', {...getKnowledge(), heard, from: this.#listNewestMembers().length});
		}
	}

	/** Lists the members with the newest configuration. */
	#listNewestMembers(): readonly Member[] {
		const {table, state} = this.#options;
		const newerMembers = table.listLive().filter(({record, status}) => status === 'alive' && record.release > state.getNumber());
		const newestRelease = Math.max(...newerMembers.map(({record}) => record.release));
		return newerMembers.filter(({record}) => record.release === newestRelease);
	}

	async #fetchFromMember({record}: Member): Promise<void> {
		const {findEgress, logger, state} = this.#options;
		const carrier = findEgress(record.id);
		const abortController = new AbortController();
		const fetch: PeerFetch = {isStarted: false, abortController};
		this.#fetches.set(record.id, fetch);
		const answer = carrier
			? await fetchInternal(carrier, {
				service: '',
				path: configurationPath,
				timeoutMs: fetchTimeoutMs,
				maxBytes: maxConfigurationBytes,
				handleStart() {
					fetch.isStarted = true;
				},
				signal: abortController.signal,
			})
			: Left<Failure, Uint8Array>(createFailure('linkUnreachable', `no link to node ${record.id}: it is not a known member`));
		this.#fetches.delete(record.id);
		if (abortController.signal.aborted) {
			return;
		}

		answer.chain(body => parseConfiguration(parseJson(body))).ifRight(configuration => {
			state.applyConfiguration(configuration, record.id);
			this.#cancelFetches();
		}).ifLeft(({code, detail}) => {
			this.#recordFailure(record.id, performance.now());
			logger.log('releaseFetchFailed', {peer: record.id, code, detail});
		});
	}

	/** Gives up the other fetches once one has delivered. */
	#cancelFetches(): void {
		[...this.#fetches.values()].forEach(({abortController}) => {
			abortController.abort();
		});
	}

	#recordFailure(id: string, now: number): void {
		const others = [...this.#failedUntil].filter(([other, until]) => other !== id && until > now);
		this.#failedUntil = new Map([...others, [id, now + failurePeriodMs]]);
	}
}

function parseJson(body: Uint8Array): unknown {
	try {
		return JSON.parse(Buffer.from(body).toString('utf8'));
	} catch {
		return undefined;
	}
}
