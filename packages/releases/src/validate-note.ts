/** Validates a release note and reports all of its faults, each with its path. */
import {Left, Right, type Either} from 'purify-ts';
import {groupItems} from '@limpetbarrow/core';
import {itemKinds, type ItemKind} from './configuration.js';
import {formatPath, type NoteFault} from './note-fault.js';
import {releaseNoteSchema} from './release-note.js';
import {type Configuration, type ReleaseNote, type Route} from './types.js';

type NoteEntry = {
	readonly path: string;
	readonly name: string;
};

const maxListedItems = 3;

/** Parses a release note against its schema, without regard to the configuration. */
export function parseNote(input: unknown): Either<readonly NoteFault[], ReleaseNote> {
	const result = releaseNoteSchema.safeParse(input);
	return result.success
		? Right(result.data)
		: Left(result.error.issues.map(issue => ({path: formatPath(issue.path), message: issue.message})));
}

function listNoteEntries(note: ReleaseNote, kind: ItemKind): readonly NoteEntry[] {
	return [
		...note.added[kind].map(({name}, index) => ({path: `added.${kind}[${index}]`, name})),
		...note.changed[kind].map(({name}, index) => ({path: `changed.${kind}[${index}]`, name})),
		...note.withdrawn[kind].map((name, index) => ({path: `withdrawn.${kind}[${index}]`, name})),
	];
}

function findDuplicateFaults(note: ReleaseNote, kind: ItemKind): readonly NoteFault[] {
	const entriesOfKind = listNoteEntries(note, kind);
	const firstPaths = new Map(entriesOfKind.toReversed().map(({path, name}) => [name, path]));
	return entriesOfKind
		.filter(({path, name}) => firstPaths.get(name) !== path)
		.map(({path, name}) => ({path, message: `${name} is named before, in ${firstPaths.get(name)}`}));
}

function findExistenceFaults(configuration: Configuration, note: ReleaseNote, kind: ItemKind): readonly NoteFault[] {
	const known = configuration[kind];
	return listNoteEntries(note, kind)
		.filter(({path, name}) => known.has(name) === path.startsWith('added.'))
		.map(({path, name}) => ({path, message: known.has(name) ? `${name} exists already` : `${name} does not exist`}));
}

function findTermsRangeFaults({added, changed}: ReleaseNote): readonly NoteFault[] {
	const offers = [
		...added.terms.map((offer, index) => ({path: `added.terms[${index}]`, offer})),
		...changed.terms.map((offer, index) => ({path: `changed.terms[${index}]`, offer})),
	];
	return offers.flatMap(({path, offer}) => [
		...(offer.topRate < offer.initialRate ? [{path: `${path}.topRate`, message: `${offer.topRate} is below initialRate ${offer.initialRate}`}] : []),
		...(offer.topTimeoutMs < offer.initialTimeoutMs ? [{path: `${path}.topTimeoutMs`, message: `${offer.topTimeoutMs} is below initialTimeoutMs ${offer.initialTimeoutMs}`}] : []),
	]);
}

/** An item that may refer to an item of another kind. */
type ReferencingItem = {
	readonly name: string;
	readonly service?: string;
	readonly terms?: string;
};

/** A reference that each item of one kind holds to an item of another kind. */
type Reference = {
	readonly referrers: ItemKind;
	readonly targets: ItemKind;
	/** Property of the referring item that holds the target's name. */
	readonly property: string;
	readonly getTarget: (referrer: ReferencingItem) => string;
};

const references: readonly Reference[] = [
	{
		referrers: 'routes', targets: 'services', property: 'service', getTarget: ({service}) => service!,
	},
	{
		referrers: 'organisations', targets: 'terms', property: 'terms', getTarget: ({terms}) => terms!,
	},
];

function findDanglingReferences(configuration: Configuration, note: ReleaseNote, {referrers, targets, property, getTarget}: Reference): readonly NoteFault[] {
	const added = new Set(note.added[targets].map(({name}) => name));
	const isKnown = (name: string): boolean => added.has(name) || configuration[targets].has(name);
	const listFaults = (part: 'added' | 'changed'): readonly NoteFault[] => (note[part][referrers] as readonly ReferencingItem[])
		.map((referrer, index) => ({path: `${part}.${referrers}[${index}].${property}`, target: getTarget(referrer)}))
		.filter(({target}) => !isKnown(target))
		.map(({path, target}) => ({path, message: `${target} does not exist`}));
	return [...listFaults('added'), ...listFaults('changed')];
}

function findReferencedWithdrawals(configuration: Configuration, note: ReleaseNote, {referrers, targets, getTarget}: Reference): readonly NoteFault[] {
	if (note.withdrawn[targets].length === 0) {
		return [];
	}

	const replaced = new Set([...note.withdrawn[referrers], ...note.changed[referrers].map(({name}) => name)]);
	const remaining: readonly ReferencingItem[] = [
		...[...configuration[referrers].values()].filter(({name}) => !replaced.has(name)),
		...note.added[referrers],
		...note.changed[referrers],
	];
	const itemsByTarget = groupItems(remaining, referrer => getTarget(referrer));
	return note.withdrawn[targets]
		.map((name, index) => ({path: `withdrawn.${targets}[${index}]`, name, found: itemsByTarget.get(name) ?? []}))
		.filter(({found}) => found.length > 0)
		.map(({path, name, found}) => ({path, message: `${name} is still used by ${formatReferencingItems(referrers, found)}`}));
}

function formatReferencingItems(kind: ItemKind, referrers: ReadonlyArray<{readonly name: string}>): string {
	const names = referrers.slice(0, maxListedItems).map(({name}) => name).join(', ');
	const more = referrers.length - maxListedItems;
	return `${kind} ${names}${more > 0 ? ` and ${more} more` : ''}`;
}

function hasCommonMethod(a: Route, b: Route): boolean {
	return a.methods.length === 0 || b.methods.length === 0 || a.methods.some(method => b.methods.includes(method));
}

function getMatchKey({host, pathPrefix}: Route): string {
	return `${host} ${pathPrefix}`;
}

/** Finds routes of the note that match some of the same requests as another route: same host and prefix, and a method in common. */
function findOverlapFaults({routes}: Configuration, note: ReleaseNote): readonly NoteFault[] {
	const noteRoutes = [
		...note.added.routes.map((route, index) => ({path: `added.routes[${index}]`, route})),
		...note.changed.routes.map((route, index) => ({path: `changed.routes[${index}]`, route})),
	];
	if (noteRoutes.length === 0) {
		return [];
	}

	const replaced = new Set([...note.withdrawn.routes, ...note.changed.routes.map(({name}) => name)]);
	const keys = new Set(noteRoutes.map(({route}) => getMatchKey(route)));
	const remaining = [...routes.values()].filter(route => keys.has(getMatchKey(route)) && !replaced.has(route.name));
	const byKey = groupItems([...remaining, ...noteRoutes.map(({route}) => route)], route => getMatchKey(route));
	return noteRoutes.flatMap(({path, route}) => {
		const other = byKey.get(getMatchKey(route))!.find(candidate => candidate.name !== route.name && hasCommonMethod(candidate, route));
		return other ? [{path, message: `${route.name} matches the same requests as ${other.name}`}] : [];
	});
}

function findConfigurationFaults(configuration: Configuration, note: ReleaseNote): readonly NoteFault[] {
	return [
		...itemKinds.flatMap(kind => [...findDuplicateFaults(note, kind), ...findExistenceFaults(configuration, note, kind)]),
		...findTermsRangeFaults(note),
		...references.flatMap(reference => [...findDanglingReferences(configuration, note, reference), ...findReferencedWithdrawals(configuration, note, reference)]),
		...findOverlapFaults(configuration, note),
	];
}

/** Validates a parsed release note against the configuration on which it is based. */
export function checkNote(configuration: Configuration, note: ReleaseNote): Either<readonly NoteFault[], ReleaseNote> {
	const faults = findConfigurationFaults(configuration, note);
	return faults.length > 0 ? Left(faults) : Right(note);
}

/** Parses a release note and validates it against the configuration on which it is based. */
export function validateNote(configuration: Configuration, input: unknown): Either<readonly NoteFault[], ReleaseNote> {
	return parseNote(input).chain(note => checkNote(configuration, note));
}
