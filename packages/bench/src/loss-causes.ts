/** Finds from the log lines of a fleet why requests were not served, so that policies are judged by causes. */

/** Event, number and further fields of the log line that ends a request. */
type RequestEndLine = {
	readonly name: string;
	readonly time: string;
	readonly request: string;
	readonly service: string;
	readonly isRepeatable: boolean;
	readonly status: number;
	readonly tries?: string;
};

/** How one request ended. */
export type RequestResult = {
	/** Service and kind of the request: `order` must not be repeated, `read` may be, `call` comes from a backend server. */
	readonly kind: string;
	/** Unix time of the end in milliseconds. */
	readonly at: number;
	/** Undefined for a request that was served. */
	readonly cause: string | undefined;
	/** True for a request that paused before it ended. */
	readonly hasPaused: boolean;
};

const minFailureStatus = 400;
const minIdLength = 8;
const endEvents: ReadonlySet<string> = new Set(['requestAnswered', 'requestRefused', 'requestGivenUp']);
const causesByResult: ReadonlyMap<string, string> = new Map([
	['3009', 'refused: servers failing'],
	['3004', 'refused: no room in time'],
	['3003', 'refused: no room in time'],
	['3010', 'rejected by the server'],
	['3012', 'refused: no retry left'],
	['2001', 'no path'],
	['2002', 'link lost'],
	['1010', 'deadline'],
	['3007', 'deadline'],
	['504', 'deadline'],
]);

function parseLine(line: string): readonly RequestEndLine[] {
	const start = line.indexOf('{');
	try {
		const value = JSON.parse(line.slice(Math.max(0, start))) as RequestEndLine;
		return endEvents.has(value.name) ? [value] : [];
	} catch {
		// A line of another program between the log lines.
		return [];
	}
}

/** Finds the request that a call belongs to: the id of a call begins with its parent's id. */
function findParentId({request}: RequestEndLine, ids: ReadonlySet<string>): string | undefined {
	const lengths = Array.from({length: Math.max(0, request.length - minIdLength)}, (_, index) => request.length - 1 - index);
	return lengths.map(length => request.slice(0, length)).find(prefix => ids.has(prefix));
}

function findCause({name, status, tries = ''}: RequestEndLine, hasFailedCall: boolean): string | undefined {
	if (name === 'requestGivenUp') {
		return 'caller left';
	}

	if (status < minFailureStatus) {
		return undefined;
	}

	if (hasFailedCall) {
		return 'own call failed';
	}

	const last = tries.split(' ').findLast(step => !step.startsWith('pause'));
	const result = /:(?<result>\d+)@/v.exec(last ?? '')?.groups?.result ?? '';
	const place = last?.includes('!') ? 'at a last resort' : 'at a server believed healthy';
	return last === undefined || last === '' ? 'no server known' : causesByResult.get(result) ?? `server error ${place}`;
}

/** Reads log lines in any order; lines that end no request are passed over. */
export function findRequestResults(lines: readonly string[]): readonly RequestResult[] {
	const ends = lines.flatMap(line => parseLine(line));
	const ids = new Set(ends.map(({request}) => request));
	const parents = new Map(ends.map(end => [end, findParentId(end, ids)]));
	const failedParents = new Set(ends.filter(({name, status}) => name === 'requestGivenUp' || status >= minFailureStatus).map(end => parents.get(end)));
	return ends.map(end => ({
		kind: `${end.service} ${parents.get(end) === undefined ? (end.isRepeatable ? 'read' : 'order') : 'call'}`,
		at: Date.parse(end.time),
		cause: findCause(end, failedParents.has(end.request)),
		hasPaused: end.tries?.includes('pause') ?? false,
	}));
}

/** Counts the results of each kind by cause, the most frequent first. */
export function countCauses(results: readonly RequestResult[]): ReadonlyMap<string, ReadonlyMap<string, number>> {
	const kinds = [...new Set(results.map(({kind}) => kind))].toSorted((a, b) => a.localeCompare(b));
	return new Map(kinds.map(kind => {
		const labels = results.filter(result => result.kind === kind).map(({cause, hasPaused}) => `${cause ?? 'served'}${hasPaused ? ', after a pause' : ''}`);
		const counts = [...new Set(labels)].map(label => [label, labels.filter(other => other === label).length] as const);
		return [kind, new Map(counts.toSorted((a, b) => b[1] - a[1]))];
	}));
}

/** Counts the requests that were not served in each second after the first result. */
export function countLossesBySecond(results: readonly RequestResult[]): readonly number[] {
	const startAt = Math.min(...results.map(({at}) => at));
	const seconds = results.filter(({cause}) => cause !== undefined).map(({at}) => Math.floor((at - startAt) / 1000));
	return Array.from({length: Math.max(0, ...seconds) + 1}, (_, second) => seconds.filter(other => other === second).length);
}
