/** The other nodes, as far as following releases needs them. */
import {type EitherAsync} from 'purify-ts';
import {type Failure} from '@limpetbarrow/core';
import {type Configuration, type Release} from './types.js';

/** A live node, as its record says. */
export type ReleasePeer = {
	readonly id: string;
	readonly failureDomain: string;
	/** Number of the release in force on the node. */
	readonly release: number;
	/** False while the node is stopping. */
	readonly isServing: boolean;
};

/** Lists the live nodes and fetches releases from them. */
export abstract class ReleasePeers {
	abstract getSelfId(): string;
	/** All live nodes, this one included. */
	abstract listLive(): readonly ReleasePeer[];
	/** Fetches a page of the releases after a number; `releaseGone` when the peer no longer keeps them. */
	abstract fetchReleases(peerId: string, after: number): EitherAsync<Failure, readonly Release[]>;
	/** Fetches the whole configuration in force on a peer. */
	abstract fetchConfiguration(peerId: string): EitherAsync<Failure, Configuration>;
}
