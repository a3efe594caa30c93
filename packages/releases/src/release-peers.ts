/** Interface to the other nodes for fetching releases. */
import {type EitherAsync} from 'purify-ts';
import {type Failure} from '@limpetbarrow/core';
import {type Configuration, type Release} from './types.js';

/** A live node as its membership record describes it. */
export type ReleasePeer = {
	readonly id: string;
	readonly failureDomain: string;
	/** Number of the release that is in force on the node. */
	readonly release: number;
	/** False while the node is stopping. */
	readonly isServing: boolean;
};

/** Lists the live nodes and fetches releases from them. */
export abstract class ReleasePeers {
	abstract getSelfId(): string;
	/** Lists all live nodes, this one included. */
	abstract listLive(): readonly ReleasePeer[];
	/** Fetches a page of the releases after a number; fails with `releaseGone` when the peer no longer keeps them. */
	abstract fetchReleases(peerId: string, after: number): EitherAsync<Failure, readonly Release[]>;
	/** Fetches the whole configuration that is in force on a peer. */
	abstract fetchConfiguration(peerId: string): EitherAsync<Failure, Configuration>;
}
