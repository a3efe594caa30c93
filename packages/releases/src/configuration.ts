/** Folds release notes into the configuration. */
import {type Configuration, type Release, type ReleaseNote} from './types.js';

type Named = {
	readonly name: string;
};

/** The kinds of item a release note holds. */
export const itemKinds = ['services', 'routes', 'terms', 'organisations'] as const;

/** Name of a kind of item. */
export type ItemKind = typeof itemKinds[number];

/** The configuration before the first release. */
export const emptyConfiguration: Configuration = {
	release: 0, services: new Map(), routes: new Map(), terms: new Map(), organisations: new Map(),
};

function applyItems<Item extends Named>(items: ReadonlyMap<string, Item>, set: readonly Item[], withdrawn: readonly string[]): ReadonlyMap<string, Item> {
	if (set.length === 0 && withdrawn.length === 0) {
		return items;
	}

	const next = new Map(items);
	withdrawn.forEach(name => {
		next.delete(name);
	});
	set.forEach(item => {
		next.set(item.name, item);
	});
	return next;
}

/** Applies a note's additions, changes and withdrawals. */
export function applyNote(configuration: Configuration, {added, changed, withdrawn}: ReleaseNote): Configuration {
	return {
		release: configuration.release,
		services: applyItems(configuration.services, [...added.services, ...changed.services], withdrawn.services),
		routes: applyItems(configuration.routes, [...added.routes, ...changed.routes], withdrawn.routes),
		terms: applyItems(configuration.terms, [...added.terms, ...changed.terms], withdrawn.terms),
		organisations: applyItems(configuration.organisations, [...added.organisations, ...changed.organisations], withdrawn.organisations),
	};
}

/** Folds in the next release. Any other number leaves the configuration as it is, so it never goes back. */
export function applyRelease(configuration: Configuration, {number, note}: Release): Configuration {
	return number === configuration.release + 1
		? {...applyNote(configuration, note), release: number}
		: configuration;
}
