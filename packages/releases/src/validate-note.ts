/** Validates a release note whole, naming every fault by its path. */
import {Left, Right, type Either} from 'purify-ts';
import {createFailure, type Failure} from '@limpetbarrow/core';
import {applyNote, itemKinds, type ItemKind} from './configuration.js';
import {releaseNoteSchema} from './release-note.js';
import {type Configuration, type ReleaseNote} from './types.js';

/** One fault in a release note. */
export type NoteFault = {
	/** Such as `added.routes[2].service`. */
	readonly path: string;
	readonly message: string;
};

function formatPath(path: readonly PropertyKey[]): string {
	return path.map(part => typeof part === 'number' ? `[${part}]` : `.${String(part)}`).join('').replace(/^\./v, '');
}

function findShapeFaults(input: unknown): readonly NoteFault[] {
	const result = releaseNoteSchema.safeParse(input);
	return result.success ? [] : result.error.issues.map(issue => ({path: formatPath(issue.path), message: issue.message}));
}

function findPresenceFaults(configuration: Configuration, note: ReleaseNote, kind: ItemKind): readonly NoteFault[] {
	const known = configuration[kind];
	const added = note.added[kind].map(({name}, index) => ({path: `added.${kind}[${index}]`, message: `${name} exists already`, isFault: known.has(name)}));
	const changed = note.changed[kind].map(({name}, index) => ({path: `changed.${kind}[${index}]`, message: `${name} does not exist`, isFault: !known.has(name)}));
	const withdrawn = note.withdrawn[kind].map((name, index) => ({path: `withdrawn.${kind}[${index}]`, message: `${name} does not exist`, isFault: !known.has(name)}));
	return [...added, ...changed, ...withdrawn]
		.filter(({isFault}) => isFault)
		.map(({path, message}) => ({path, message}));
}

function findReferenceFaults(next: Configuration): readonly NoteFault[] {
	const routes = [...next.routes.values()]
		.filter(({service}) => !next.services.has(service))
		.map(({name, service}) => ({path: `routes.${name}.service`, message: `service ${service} does not exist`}));
	const organisations = [...next.organisations.values()]
		.filter(({terms}) => !next.terms.has(terms))
		.map(({name, terms}) => ({path: `organisations.${name}.terms`, message: `terms ${terms} do not exist`}));
	return [...routes, ...organisations];
}

/** Reads a release note and checks it against the configuration it was written for. */
export function validateNote(configuration: Configuration, input: unknown): Either<readonly NoteFault[], ReleaseNote> {
	const shapeFaults = findShapeFaults(input);
	if (shapeFaults.length > 0) {
		return Left(shapeFaults);
	}

	const note = releaseNoteSchema.parse(input);
	const faults = [
		...itemKinds.flatMap(kind => findPresenceFaults(configuration, note, kind)),
		...findReferenceFaults(applyNote(configuration, note)),
	];
	return faults.length > 0 ? Left(faults) : Right(note);
}

/** The failure that reports a note's faults. */
export function createNoteFailure(faults: readonly NoteFault[]): Failure {
	return createFailure('releaseInvalid', faults.map(({path, message}) => `${path}: ${message}`).join('; '));
}
