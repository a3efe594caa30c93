/** Learns configurations from other nodes when this node's own way to them is slower or cut off. */
import {Buffer} from 'node:buffer';
import {Left} from 'purify-ts';
import {
	Carrier, createFailure, reservedPathPrefix, type Exchange, type ExchangeHandler, type Failure, type Logger, type RequestHead,
} from '@limpetbarrow/core';
import {type Member, type MemberTable} from '@limpetbarrow/members';
import {encodeConfiguration, parseConfiguration, type ReleaseState} from '@limpetbarrow/releases';
import {answerExchange} from './closed-exchange.js';
import {type FindEgress} from './forwarder.js';
import {fetchInternal} from './internal-fetch.js';

/** Path under which a node answers with its configuration. */
export const configurationPath = `${reservedPathPrefix}configuration`;

/** What learning from peers needs. */
export type PeerConfigurationFetcherOptions = {
	readonly table: MemberTable;
	readonly state: ReleaseState;
	readonly findEgress: FindEgress;
	/** True while this node hears of changes by a watch of its own. */
	readonly isWatching: () => boolean;
	/** Has the platform read, where no other node gives what this one lacks. */
	readonly readPlatform: () => void;
	readonly logger: Logger;
};

/** Time between two looks at what others have in force, in milliseconds. */
const checkPeriodMs = 400;
/** Time another node's lead must last before a node that watches asks it, in milliseconds; mostly its own watch comes first. */
const watchGraceMs = 400;
const fetchTimeoutMs = 1500;
/** Time for which a node stays behind others before it reads the platform itself, in milliseconds: its ways to them may be cut. */
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

/** Asks a node that has a newer configuration in force, one in this failure domain first. */
export class PeerConfigurationFetcher {
	readonly #options: PeerConfigurationFetcherOptions;
	#timer: NodeJS.Timeout | undefined;
	#laggingSince: number | undefined;
	#isFetching = false;
	/** Node that failed to answer last; another one is asked next, where there is one. */
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
		const ahead = this.#listNewestMembers();
		this.#laggingSince = ahead.length === 0 ? undefined : this.#laggingSince ?? now;
		const {state, isWatching, readPlatform} = this.#options;
		if (this.#laggingSince !== undefined && now - this.#laggingSince >= maxLagMs && !isWatching()) {
			readPlatform();
		}

		const leadLeftMs = state.getNumber() > 0 && isWatching() ? watchGraceMs : 0;
		if (this.#laggingSince === undefined || this.#isFetching || now - this.#laggingSince < leadLeftMs) {
			return;
		}

		this.#isFetching = true;
		const others = ahead.filter(({record}) => record.id !== this.#failedNodeId);
		const open = others.length > 0 ? others : ahead;
		await this.#fetchFromMember(open[Math.floor(Math.random() * open.length)]!);
		this.#isFetching = false;
	}

	/** Members with the newest configuration; those of this failure domain only, where there are any. */
	#listNewestMembers(): readonly Member[] {
		const {table, state} = this.#options;
		const ahead = table.listLive().filter(({record, status}) => status === 'alive' && record.release > state.getNumber());
		const newest = Math.max(...ahead.map(({record}) => record.release));
		const holders = ahead.filter(({record}) => record.release === newest);
		const {failureDomain} = table.getSelf().placement;
		const near = holders.filter(({record}) => record.placement.failureDomain === failureDomain);
		return near.length > 0 ? near : holders;
	}

	async #fetchFromMember({record}: Member): Promise<void> {
		const {findEgress, logger, state} = this.#options;
		const carrier = findEgress(record.id);
		const answer = carrier
			? await fetchInternal(carrier, {
				service: '', path: configurationPath, timeoutMs: fetchTimeoutMs, maxBytes: maxConfigurationBytes,
			})
			: Left<Failure, Uint8Array>(createFailure('linkUnreachable', `node ${record.id} is not known`));
		answer.chain(body => parseConfiguration(parseJson(body))).ifRight(configuration => {
			this.#failedNodeId = undefined;
			state.applyConfiguration(configuration);
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
