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

/** Fetches newer configurations from the nodes that have them in force, preferably from this node's failure domain. */
export class PeerConfigurationFetcher {
	readonly #options: PeerConfigurationFetcherOptions;
	#timer: NodeJS.Timeout | undefined;
	#laggingSince: number | undefined;
	#isFetching = false;
	/** Newest release that was logged as heard of. */
	#loggedRelease = 0;
	/** Id of the node that failed to answer last; another one is asked next, if there is one. */
	#failedNodeId: string | undefined;

	constructor(options: PeerConfigurationFetcherOptions) {
		this.#options = options;
	}

	start(): void {
		this.#timer = setInterval(() => {
			void this.#check(performance.now());
		}, checkPeriodMs);
	}

	stop(): void {
		clearInterval(this.#timer);
	}

	async #check(now: number): Promise<void> {
		this.#logHeardRelease();
		const newestMembers = this.#listNewestMembers();
		this.#laggingSince = newestMembers.length === 0 ? undefined : this.#laggingSince ?? now;
		const {state, isWatching, readPlatform} = this.#options;
		if (this.#laggingSince !== undefined && now - this.#laggingSince >= maxLagMs) {
			readPlatform();
		}

		const graceMs = state.getNumber() > 0 && isWatching() ? watchGraceMs : 0;
		if (this.#laggingSince === undefined || this.#isFetching || now - this.#laggingSince < graceMs) {
			return;
		}

		this.#isFetching = true;
		const others = newestMembers.filter(({record}) => record.id !== this.#failedNodeId);
		const candidates = others.length > 0 ? others : newestMembers;
		const {random = Math.random} = this.#options;
		await this.#fetchFromMember(candidates[Math.floor(random() * candidates.length)]!);
		this.#isFetching = false;
	}

	/** Logs once for each release that others name before it is in force here. */
	#logHeardRelease(): void {
		const {table, state, logger, getKnowledge = () => ({})} = this.#options;
		const heard = table.getHeardRelease();
		if (heard > Math.max(state.getNumber(), this.#loggedRelease)) {
			this.#loggedRelease = heard;
			logger.log('releaseHeard', {...getKnowledge(), heard, from: this.#listNewestMembers().length});
		}
	}

	/** Lists the members with the newest configuration; only those of this failure domain, if there are any. */
	#listNewestMembers(): readonly Member[] {
		const {table, state} = this.#options;
		const newerMembers = table.listLive().filter(({record, status}) => status === 'alive' && record.release > state.getNumber());
		const newestRelease = Math.max(...newerMembers.map(({record}) => record.release));
		const newestMembers = newerMembers.filter(({record}) => record.release === newestRelease);
		const {failureDomain} = table.getSelf().placement;
		const sameDomainMembers = newestMembers.filter(({record}) => record.placement.failureDomain === failureDomain);
		return sameDomainMembers.length > 0 ? sameDomainMembers : newestMembers;
	}

	async #fetchFromMember({record}: Member): Promise<void> {
		const {findEgress, logger, state} = this.#options;
		const carrier = findEgress(record.id);
		const answer = carrier
			? await fetchInternal(carrier, {
				service: '', path: configurationPath, timeoutMs: fetchTimeoutMs, maxBytes: maxConfigurationBytes,
			})
			: Left<Failure, Uint8Array>(createFailure('linkUnreachable', `no link to node ${record.id}: it is not a known member`));
		answer.chain(body => parseConfiguration(parseJson(body))).ifRight(configuration => {
			this.#failedNodeId = undefined;
			state.applyConfiguration(configuration, record.id);
		}).ifLeft(({code, detail}) => {
			this.#failedNodeId = record.id;
			logger.log('releaseFetchFailed', {node: record.id, code, detail});
		});
	}
}

function parseJson(body: Uint8Array): unknown {
	try {
		return JSON.parse(Buffer.from(body).toString('utf8'));
	} catch {
		return undefined;
	}
}
