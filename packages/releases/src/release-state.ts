/** The releases a node knows and the configuration they make. */
import {Store} from '@limpetbarrow/core';
import {
	applyReleases, emptyConfiguration, itemKinds, selectSuccessors,
} from './configuration.js';
import {type Configuration, type Release} from './types.js';

/** Snapshot of what a node knows. */
export type ReleaseSnapshot = {
	readonly configuration: Configuration;
	/** The newest releases in force, oldest first, without a gap. */
	readonly releases: readonly Release[];
};

const maxRetainedReleases = 500;
const maxRetainedItems = 20_000;
const maxReleasesPerPage = 100;

function countItems({note}: Release): number {
	return itemKinds.reduce((sum, kind) => sum + note.added[kind].length + note.changed[kind].length + note.withdrawn[kind].length, 0);
}

/** Selects the newest releases within the bounds, at least the last one. */
function selectNewest(releases: readonly Release[]): readonly Release[] {
	let items = 0;
	const first = releases.findLastIndex((release, index) => {
		items += countItems(release);
		const age = releases.length - index;
		return age > 1 && (age > maxRetainedReleases || items > maxRetainedItems);
	});
	return releases.slice(first + 1);
}

/** Holds the configuration in force on a node. Its number only grows. */
export class ReleaseState {
	readonly store = new Store<ReleaseSnapshot>({configuration: emptyConfiguration, releases: []});

	/** Number of the release in force. */
	getNumber(): number {
		return this.store.getState().configuration.release;
	}

	getConfiguration(): Configuration {
		return this.store.getState().configuration;
	}

	/** Releases that follow `after`, oldest first, at most a page; undefined when some are no longer kept. */
	selectAfter(after: number): readonly Release[] | undefined {
		const {configuration, releases} = this.store.getState();
		const firstRetained = configuration.release - releases.length + 1;
		return after + 1 < firstRetained && after < configuration.release
			? undefined
			: releases.filter(({number}) => number > after).slice(0, maxReleasesPerPage);
	}

	/** Puts releases in force that follow without a gap; others are passed over. */
	apply(releases: readonly Release[]): void {
		this.store.update('applyReleases', snapshot => {
			const configuration = applyReleases(snapshot.configuration, releases);
			return configuration === snapshot.configuration
				? snapshot
				: {configuration, releases: selectNewest([...snapshot.releases, ...selectSuccessors(snapshot.configuration.release, releases)])};
		});
	}

	/** Puts a whole configuration in force if its number is higher. */
	applyConfiguration(configuration: Configuration): void {
		this.store.update('applyConfiguration', snapshot => configuration.release > snapshot.configuration.release
			? {configuration, releases: []}
			: snapshot);
	}
}
