/** The configuration in force on a node and its newest releases. */
import {Store} from '@limpetbarrow/core';
import {
	applyReleases, emptyConfiguration, itemKinds, selectSuccessors,
} from './configuration.js';
import {type Configuration, type Release} from './types.js';

/** One state of a node's configuration and releases. */
export type ReleaseSnapshot = {
	readonly configuration: Configuration;
	/** The newest releases in force, oldest first and without a gap. */
	readonly releases: readonly Release[];
	/** How the configuration reached this node: `read` or `watch` for a call to the platform, or the id of another node. */
	readonly source?: string;
};

const maxRetainedReleases = 500;
const maxRetainedItems = 20_000;
const maxReleasesPerPage = 100;

function countItems({note}: Release): number {
	return itemKinds.reduce((sum, kind) => sum + note.added[kind].length + note.changed[kind].length + note.withdrawn[kind].length, 0);
}

/** Selects the newest releases within the limits on releases and items, but always at least the last one. */
function selectNewest(releases: readonly Release[]): readonly Release[] {
	let items = 0;
	const first = releases.findLastIndex((release, index) => {
		items += countItems(release);
		const age = releases.length - index;
		return age > 1 && (age > maxRetainedReleases || items > maxRetainedItems);
	});
	return releases.slice(first + 1);
}

/** Holds the configuration in force on a node. Its release number never decreases. */
export class ReleaseState {
	readonly store = new Store<ReleaseSnapshot>({configuration: emptyConfiguration, releases: []});

	/** Returns the number of the release in force. */
	getNumber(): number {
		return this.store.getState().configuration.release;
	}

	getConfiguration(): Configuration {
		return this.store.getState().configuration;
	}

	/** Returns at most a page of the releases that follow `after`, oldest first; undefined when some of them are no longer kept. */
	selectAfter(after: number): readonly Release[] | undefined {
		const {configuration, releases} = this.store.getState();
		const firstRetained = configuration.release - releases.length + 1;
		return after + 1 < firstRetained && after < configuration.release
			? undefined
			: releases.filter(({number}) => number > after).slice(0, maxReleasesPerPage);
	}

	/** Applies the releases that follow the one in force without a gap; ignores the others. */
	apply(releases: readonly Release[]): void {
		this.store.update('applyReleases', snapshot => {
			const configuration = applyReleases(snapshot.configuration, releases);
			return configuration === snapshot.configuration
				? snapshot
				: {configuration, releases: selectNewest([...snapshot.releases, ...selectSuccessors(snapshot.configuration.release, releases)])};
		});
	}

	/** Replaces the whole configuration if the new one has a higher release number. `source` tells how it reached this node. */
	applyConfiguration(configuration: Configuration, source?: string): void {
		this.store.update('applyConfiguration', snapshot => configuration.release > snapshot.configuration.release
			? {configuration, releases: [], ...(source !== undefined && {source})}
			: snapshot);
	}
}
