/** Validates a release note whole, naming every fault by its path. */
import {Left, Right, type Either} from 'purify-ts';
import {groupItems} from '@limpetbarrow/core';
import {itemKinds, type ItemKind} from './configuration.js';
import {formatPath, type NoteFault} from './note-fault.js';
import {releaseNoteSchema} from './release-note.js';
import {type Configuration, type ReleaseNote, type Route} from './types.js';

type Mention = {
	readonly path: string;
	readonly name: string;
};

const maxNamedUsers = 3;

/** Reads the shape of a release note. */
export function parseNote(input: unknown): Either<readonly NoteFault[], ReleaseNote> {
	const result = releaseNoteSchema.safeParse(input);
	return result.success
		? Right(result.data)
		: Left(result.error.issues.map(issue => ({path: formatPath(issue.path), message: issue.message})));
}

function listMentions(note: ReleaseNote, kind: ItemKind): readonly Mention[] {
	return [
		...note.added[kind].map(({name}, index) => ({path: `added.${kind}[${index}]`, name})),
		...note.changed[kind].map(({name}, index) => ({path: `changed.${kind}[${index}]`, name})),
		...note.withdrawn[kind].map((name, index) => ({path: `withdrawn.${kind}[${index}]`, name})),
	];
}

function findRepeatFaults(note: ReleaseNote, kind: ItemKind): readonly NoteFault[] {
	const mentions = listMentions(note, kind);
	const firstPaths = new Map(mentions.toReversed().map(({path, name}) => [name, path]));
	return mentions
		.filter(({path, name}) => firstPaths.get(name) !== path)
		.map(({path, name}) => ({path, message: `${name} is named before, in ${firstPaths.get(name)}`}));
}

function findPresenceFaults(configuration: Configuration, note: ReleaseNote, kind: ItemKind): readonly NoteFault[] {
	const known = configuration[kind];
	return listMentions(note, kind)
		.filter(({path, name}) => known.has(name) === path.startsWith('added.'))
		.map(({path, name}) => ({path, message: known.has(name) ? `${name} exists already` : `${name} does not exist`}));
}

function findOrderFaults({added, changed}: ReleaseNote): readonly NoteFault[] {
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
type User = {
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
	readonly getTarget: (user: User) => string;
};

const references: readonly Reference[] = [
	{
		users: 'routes', targets: 'services', property: 'service', getTarget: ({service}) => service!,
	},
	{
		users: 'organisations', targets: 'terms', property: 'terms', getTarget: ({terms}) => terms!,
	},
];

function findMissingTargets(configuration: Configuration, note: ReleaseNote, {users, targets, property, getTarget}: Reference): readonly NoteFault[] {
	const added = new Set(note.added[targets].map(({name}) => name));
	const isKnown = (name: string): boolean => added.has(name) || configuration[targets].has(name);
	const listFaults = (part: 'added' | 'changed'): readonly NoteFault[] => (note[part][users] as readonly User[])
		.map((user, index) => ({path: `${part}.${users}[${index}].${property}`, target: getTarget(user)}))
		.filter(({target}) => !isKnown(target))
		.map(({path, target}) => ({path, message: `${target} does not exist`}));
	return [...listFaults('added'), ...listFaults('changed')];
}

function findUsedTargets(configuration: Configuration, note: ReleaseNote, {users, targets, getTarget}: Reference): readonly NoteFault[] {
	if (note.withdrawn[targets].length === 0) {
		return [];
	}

	const replaced = new Set([...note.withdrawn[users], ...note.changed[users].map(({name}) => name)]);
	const remaining: readonly User[] = [
		...[...configuration[users].values()].filter(({name}) => !replaced.has(name)),
		...note.added[users],
		...note.changed[users],
	];
	const usersOf = groupItems(remaining, user => getTarget(user));
	return note.withdrawn[targets]
		.map((name, index) => ({path: `withdrawn.${targets}[${index}]`, name, found: usersOf.get(name) ?? []}))
		.filter(({found}) => found.length > 0)
		.map(({path, name, found}) => ({path, message: `${name} is still used by ${formatUsers(users, found)}`}));
}

function formatUsers(kind: ItemKind, users: ReadonlyArray<{readonly name: string}>): string {
	const names = users.slice(0, maxNamedUsers).map(({name}) => name).join(', ');
	const more = users.length - maxNamedUsers;
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
	const written = [
		...note.added.routes.map((route, index) => ({path: `added.routes[${index}]`, route})),
		...note.changed.routes.map((route, index) => ({path: `changed.routes[${index}]`, route})),
	];
	if (written.length === 0) {
		return [];
	}

	const replaced = new Set([...note.withdrawn.routes, ...note.changed.routes.map(({name}) => name)]);
	const keys = new Set(written.map(({route}) => getMatchKey(route)));
	const remaining = [...routes.values()].filter(route => keys.has(getMatchKey(route)) && !replaced.has(route.name));
	const byKey = groupItems([...remaining, ...written.map(({route}) => route)], route => getMatchKey(route));
	return written.flatMap(({path, route}) => {
		const other = byKey.get(getMatchKey(route))!.find(candidate => candidate.name !== route.name && hasCommonMethod(candidate, route));
		return other ? [{path, message: `${route.name} matches the same requests as ${other.name}`}] : [];
	});
}

function findStateFaults(configuration: Configuration, note: ReleaseNote): readonly NoteFault[] {
	return [
		...itemKinds.flatMap(kind => [...findRepeatFaults(note, kind), ...findPresenceFaults(configuration, note, kind)]),
		...findOrderFaults(note),
		...references.flatMap(reference => [...findMissingTargets(configuration, note, reference), ...findUsedTargets(configuration, note, reference)]),
		...findOverlapFaults(configuration, note),
	];
}

/** Checks a parsed release note against the configuration it was written for. */
export function checkNote(configuration: Configuration, note: ReleaseNote): Either<readonly NoteFault[], ReleaseNote> {
	const faults = findStateFaults(configuration, note);
	return faults.length > 0 ? Left(faults) : Right(note);
}

/** Reads a release note and checks it against the configuration it was written for. */
export function validateNote(configuration: Configuration, input: unknown): Either<readonly NoteFault[], ReleaseNote> {
	return parseNote(input).chain(note => checkNote(configuration, note));
}
