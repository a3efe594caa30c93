/** Applies release notes to the configuration. */
import {type Configuration, type Release, type ReleaseNote} from './types.js';

type NamedItem = {
	readonly name: string;
};

/** Kinds of items in a release note. */
export const itemKinds = ['services', 'routes', 'terms', 'organisations'] as const;

/** One kind of item. */
export type ItemKind = typeof itemKinds[number];

/** Configuration before the first release. */
export const emptyConfiguration: Configuration = {
	release: 0, services: new Map(), routes: new Map(), terms: new Map(), organisations: new Map(),
};

function applyItems<Item extends NamedItem>(
	items: ReadonlyMap<string, Item>,
	notes: readonly ReleaseNote[],
	selectUpserts: (note: ReleaseNote) => readonly Item[],
	kind: ItemKind,
): ReadonlyMap<string, Item> {
	if (notes.every(note => selectUpserts(note).length === 0 && note.withdrawn[kind].length === 0)) {
		return items;
	}

	const next = new Map(items);
	notes.forEach(note => {
		note.withdrawn[kind].forEach(name => {
			next.delete(name);
		});
		selectUpserts(note).forEach(item => {
			next.set(item.name, item);
		});
	});
	return next;
}

function applyNotes(configuration: Configuration, notes: readonly ReleaseNote[]): Omit<Configuration, 'release'> {
	return {
		services: applyItems(configuration.services, notes, ({added, changed}) => [...added.services, ...changed.services], 'services'),
		routes: applyItems(configuration.routes, notes, ({added, changed}) => [...added.routes, ...changed.routes], 'routes'),
		terms: applyItems(configuration.terms, notes, ({added, changed}) => [...added.terms, ...changed.terms], 'terms'),
		organisations: applyItems(configuration.organisations, notes, ({added, changed}) => [...added.organisations, ...changed.organisations], 'organisations'),
	};
}

/** Selects the releases that follow a number without a gap, in order; leaves out the others. */
export function selectSuccessors(number: number, releases: readonly Release[]): readonly Release[] {
	const byNumber = new Map(releases.map(release => [release.number, release]));
	const successors: Release[] = [];
	let next = byNumber.get(number + 1);
	while (next) {
		successors.push(next);
		next = byNumber.get(next.number + 1);
	}

	return successors;
}

/**
 * Applies the releases that follow the configuration without a gap, in whatever order they are given. Any other release
 * is ignored, so the configuration never goes back. The map of each kind of item is copied at most once.
 */
export function applyReleases(configuration: Configuration, releases: readonly Release[]): Configuration {
	const successors = selectSuccessors(configuration.release, releases);
	return successors.length === 0
		? configuration
		: {...applyNotes(configuration, successors.map(({note}) => note)), release: configuration.release + successors.length};
}
