/** Fetches releases from other nodes that are ahead of this one. */
import {EitherAsync, Left} from 'purify-ts';
import {type Failure, type Logger} from '@limpetbarrow/core';
import {computeBackOffMs} from './back-off.js';
import {type ReleasePeer, type ReleasePeers} from './release-peers.js';
import {type ReleaseState} from './release-state.js';

/** Dependencies of a peer follower. */
export type PeerFollowerOptions = {
	readonly peers: ReleasePeers;
	readonly state: ReleaseState;
	readonly logger: Logger;
	readonly random: () => number;
};

type PeerBackOff = {
	readonly failures: number;
	readonly retryAt: number;
};

/** Fetches from one peer at a time, preferably of its own failure domain; backs off from a peer that failed. */
export class PeerFollower {
	readonly #options: PeerFollowerOptions;
	#backOffs: ReadonlyMap<string, PeerBackOff> = new Map();
	#isFetching = false;

	constructor(options: PeerFollowerOptions) {
		this.#options = options;
	}

	/** Fetches until no live peer is ahead, apart from those it backs off from. */
	async run(live: readonly ReleasePeer[]): Promise<void> {
		if (this.#isFetching) {
			return;
		}

		this.#isFetching = true;
		try {
			await this.#fetchAll(live);
		} finally {
			this.#isFetching = false;
		}
	}

	async #fetchAll(live: readonly ReleasePeer[]): Promise<void> {
		const peer = this.#pickPeer(live);
		if (!peer) {
			return;
		}

		const before = this.#options.state.getNumber();
		const result = await this.#fetch(peer).run();
		const hasProgress = this.#options.state.getNumber() > before;
		this.#recordOutcome(peer, hasProgress);
		result.ifLeft(({code, detail}) => {
			this.#options.logger.log('releaseFetchFailed', {peer: peer.id, code, detail});
		});
		await this.#fetchAll(live);
	}

	#pickPeer(live: readonly ReleasePeer[]): ReleasePeer | undefined {
		const {peers, state, random} = this.#options;
		const selfId = peers.getSelfId();
		const domain = live.find(({id}) => id === selfId)?.failureDomain;
		const now = performance.now();
		const peersAhead = live
			.filter(({id, release}) => id !== selfId && release > state.getNumber())
			.filter(({id}) => (this.#backOffs.get(id)?.retryAt ?? 0) <= now);
		const sameDomainPeers = peersAhead.filter(({failureDomain}) => failureDomain === domain);
		const candidates = sameDomainPeers.length > 0 ? sameDomainPeers : peersAhead;
		return candidates[Math.floor(random() * candidates.length)];
	}

	#fetch(peer: ReleasePeer): EitherAsync<Failure, void> {
		const {peers, state} = this.#options;
		return peers.fetchReleases(peer.id, state.getNumber())
			.ifRight(releases => {
				state.apply(releases);
			})
			.void()
			.chainLeft(failure => failure.name === 'releaseGone'
				? peers.fetchConfiguration(peer.id).ifRight(configuration => {
					state.applyConfiguration(configuration);
				}).void()
				: EitherAsync.liftEither(Left(failure)));
	}

	#recordOutcome({id}: ReleasePeer, hasProgress: boolean): void {
		const next = new Map([...this.#backOffs].filter(([, {retryAt}]) => retryAt > performance.now()));
		if (!hasProgress) {
			const failures = (this.#backOffs.get(id)?.failures ?? 0) + 1;
			next.set(id, {failures, retryAt: performance.now() + computeBackOffMs(failures, this.#options.random)});
		}

		this.#backOffs = next;
	}
}
