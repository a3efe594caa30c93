/** Validates a release note whole, naming every fault by its path. */
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

/** Reads the shape of a release note. */
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

/** An item that may name an item of another kind. */
type ReferencingItem = {
	readonly name: string;
	readonly service?: string;
	readonly terms?: string;
};

/** A kind of item whose items each name an item of another kind. */
type Reference = {
	readonly users: ItemKind;
	readonly targets: ItemKind;
	/** Property of the user that names the target. */
	readonly property: string;
	readonly getTarget: (user: ReferencingItem) => string;
};

const references: readonly Reference[] = [
	{
		users: 'routes', targets: 'services', property: 'service', getTarget: ({service}) => service!,
	},
	{
		users: 'organisations', targets: 'terms', property: 'terms', getTarget: ({terms}) => terms!,
	},
];

function findDanglingReferences(configuration: Configuration, note: ReleaseNote, {users, targets, property, getTarget}: Reference): readonly NoteFault[] {
	const added = new Set(note.added[targets].map(({name}) => name));
	const isKnown = (name: string): boolean => added.has(name) || configuration[targets].has(name);
	const listFaults = (part: 'added' | 'changed'): readonly NoteFault[] => (note[part][users] as readonly ReferencingItem[])
		.map((user, index) => ({path: `${part}.${users}[${index}].${property}`, target: getTarget(user)}))
		.filter(({target}) => !isKnown(target))
		.map(({path, target}) => ({path, message: `${target} does not exist`}));
	return [...listFaults('added'), ...listFaults('changed')];
}

function findReferencedWithdrawals(configuration: Configuration, note: ReleaseNote, {users, targets, getTarget}: Reference): readonly NoteFault[] {
	if (note.withdrawn[targets].length === 0) {
		return [];
	}

	const replaced = new Set([...note.withdrawn[users], ...note.changed[users].map(({name}) => name)]);
	const remaining: readonly ReferencingItem[] = [
		...[...configuration[users].values()].filter(({name}) => !replaced.has(name)),
		...note.added[users],
		...note.changed[users],
	];
	const itemsByTarget = groupItems(remaining, user => getTarget(user));
	return note.withdrawn[targets]
		.map((name, index) => ({path: `withdrawn.${targets}[${index}]`, name, found: itemsByTarget.get(name) ?? []}))
		.filter(({found}) => found.length > 0)
		.map(({path, name, found}) => ({path, message: `${name} is still used by ${formatReferencingItems(users, found)}`}));
}

function formatReferencingItems(kind: ItemKind, users: ReadonlyArray<{readonly name: string}>): string {
	const names = users.slice(0, maxListedItems).map(({name}) => name).join(', ');
	const more = users.length - maxListedItems;
	return `${kind} ${names}${more > 0 ? ` and ${more} more` : ''}`;
}

function hasCommonMethod(a: Route, b: Route): boolean {
	return a.methods.length === 0 || b.methods.length === 0 || a.methods.some(method => b.methods.includes(method));
}

function getMatchKey({host, pathPrefix}: Route): string {
	return `${host} ${pathPrefix}`;
}

/** Finds routes of the note that match the same requests as another route. */
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

/** Checks a parsed release note against the configuration it was written for. */
export function checkNote(configuration: Configuration, note: ReleaseNote): Either<readonly NoteFault[], ReleaseNote> {
	const faults = findConfigurationFaults(configuration, note);
	return faults.length > 0 ? Left(faults) : Right(note);
}

/** Reads a release note and checks it against the configuration it was written for. */
export function validateNote(configuration: Configuration, input: unknown): Either<readonly NoteFault[], ReleaseNote> {
	return parseNote(input).chain(note => checkNote(configuration, note));
}
