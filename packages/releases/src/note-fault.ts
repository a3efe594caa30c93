/** Validation faults of a release note. */
import {createFailure, type Failure} from '@limpetbarrow/core';

/** One validation fault in a release note. */
export type NoteFault = {
	/** Path of the invalid value, such as `added.routes[2].service`. */
	readonly path: string;
	readonly message: string;
};

const maxReportedFaults = 50;
const maxPathCharacters = 120;
const maxMessageCharacters = 200;

/** Formats a path such as `added.routes[2].service`. */
export function formatPath(path: readonly PropertyKey[]): string {
	return path
		.map(part => typeof part === 'number' ? `[${part}]` : `.${String(part)}`)
		.join('')
		.replace(/^\./v, '')
		.slice(0, maxPathCharacters);
}

function formatFault({path, message}: NoteFault): string {
	return `${path === '' ? 'note' : path}: ${message.slice(0, maxMessageCharacters)}`;
}

/** Creates the failure that reports a note's faults. A long list is truncated and ends with the number of faults left out. */
export function createNoteFailure(faults: readonly NoteFault[]): Failure {
	const hidden = faults.length - maxReportedFaults;
	return createFailure('releaseInvalid', [
		...faults.slice(0, maxReportedFaults).map(fault => formatFault(fault)),
		...(hidden > 0 ? [`and ${hidden} more faults`] : []),
	].join('; '));
}
