/** The releases a node knows and the configuration they make. */
import {Store} from '@limpetbarrow/core';
import {applyRelease, emptyConfiguration} from './configuration.js';
import {type Configuration, type Release} from './types.js';

/** Snapshot of what a node knows. */
export type ReleaseSnapshot = {
	readonly configuration: Configuration;
	/** All releases in force, oldest first. */
	readonly releases: readonly Release[];
};

/** Holds the releases in force on a node. The number only grows. */
export class ReleaseState {
	readonly store = new Store<ReleaseSnapshot>({configuration: emptyConfiguration, releases: []});

	/** Number of the release in force. */
	getNumber(): number {
		return this.store.getState().configuration.release;
	}

	getConfiguration(): Configuration {
		return this.store.getState().configuration;
	}

	/** Releases with a number above `after`, oldest first. */
	selectAfter(after: number): readonly Release[] {
		return this.store.getState().releases.slice(after);
	}

	/** Puts releases in force, in order; those already in force or out of order are passed over. */
	apply(releases: readonly Release[]): void {
		this.store.update('applyReleases', snapshot => releases.reduce((current, release) => applyOne(current, release), snapshot));
	}
}

function applyOne(snapshot: ReleaseSnapshot, release: Release): ReleaseSnapshot {
	const configuration = applyRelease(snapshot.configuration, release);
	return configuration === snapshot.configuration
		? snapshot
		: {configuration, releases: [...snapshot.releases, release]};
}
