/** Identifies poison requests, which crash the backend servers that run them, so that they can be quarantined. */
import {type PoisonMark} from '@limpetbarrow/core';

/** Time for which a request is refused after the last crash that it caused, in milliseconds. */
export const quarantineMs = 600_000;

/** Number of distinct backend servers that a request must have crashed before it is refused. */
export const crashesBeforeQuarantine = 2;

/** Most marks that one node publishes, with its clearances. */
export const maxMarks = 32;

/** Most clearances that one node publishes. */
const maxClearances = 16;

/**
 * Time before a crash, in milliseconds, in which an answer still shows that the request isn't what crashed the backend server. An
 * older answer may come from before a change that made the request dangerous. The span also covers differences of clocks.
 */
const answerLeadMs = 5000;

/** Most crashed servers that one node names in a mark; a host has one process of its backend server at a time. */
const maxServersPerMark = 8;

/** Most marks of the whole fleet that a node keeps. */
export const maxMergedMarks = 1024;

/** Time within which a crash must follow a broken connection to be attributed to its request, in milliseconds. */
const suspectLifetimeMs = 5000;
const maxSuspectsPerServer = 64;
const maxServers = 64;
const maxAnswered = 4096;

/** A request whose connection broke, and the time at which it did. */
type Suspect = {
	readonly fingerprint: string;
	readonly at: number;
};

/** Merges the marks of all nodes by request: the union of the crashed servers and the latest expiry, without expired marks. */
export function mergePoisonMarks(marks: readonly PoisonMark[], now: number): ReadonlyMap<string, PoisonMark> {
	const merged = new Map<string, PoisonMark>();
	marks.filter(({expiresAt}) => expiresAt > now).forEach(mark => {
		const known = merged.get(mark.fingerprint);
		merged.set(mark.fingerprint, {
			fingerprint: mark.fingerprint,
			serverIds: [...new Set([...known?.serverIds ?? [], ...mark.serverIds])].toSorted((a, b) => Number(a > b) - Number(a < b)),
			expiresAt: Math.max(known?.expiresAt ?? 0, mark.expiresAt),
		});
	});
	const kept = [...merged.values()].toSorted((a, b) => b.expiresAt - a.expiresAt || Number(a.fingerprint > b.fingerprint) - 0.5).slice(0, maxMergedMarks);
	return new Map(kept.map(mark => [mark.fingerprint, mark]));
}

/** True for an entry which says that the request was answered: marks of crashes before that have no effect. */
function isClearance({serverIds}: PoisonMark): boolean {
	return serverIds.length === 0;
}

/** Finds for each request that a node has answered the expiry up to which marks of it have no effect. */
function findClearances(marks: readonly PoisonMark[]): ReadonlyMap<string, number> {
	const clearances = marks.filter(mark => isClearance(mark));
	return new Map(clearances.toSorted((a, b) => a.expiresAt - b.expiresAt).map(({fingerprint, expiresAt}) => [fingerprint, expiresAt]));
}

/** Selects the marks that no clearance ends. */
export function selectUncleared(marks: readonly PoisonMark[]): readonly PoisonMark[] {
	const clearances = findClearances(marks);
	return marks.filter(mark => !isClearance(mark) && mark.expiresAt > (clearances.get(mark.fingerprint) ?? 0));
}

/** True when the marked request is to be refused. */
export function isPoison({serverIds}: PoisonMark): boolean {
	return serverIds.length >= crashesBeforeQuarantine;
}

function setBounded<Value>(map: Map<string, Value>, key: string, value: Value, bound: number): void {
	map.delete(key);
	map.set(key, value);
	const [oldest] = map.keys();
	if (map.size > bound && oldest !== undefined) {
		map.delete(oldest);
	}
}

/** Records the crashes that one node observes. Times are Unix milliseconds given by the caller. */
export class PoisonRegister {
	readonly #suspects = new Map<string, readonly Suspect[]>();
	/** Times of the latest answers. */
	readonly #answered = new Map<string, number>();
	readonly #marks = new Map<string, PoisonMark>();
	/** What this node tells the others of requests that it has answered and that they have marked. */
	readonly #clearances = new Map<string, PoisonMark>();

	/**
	 * Records a request that was answered completely. It is no poison request, even if it runs at the same time as one. Returns
	 * true if that clears a mark.
	 */
	recordAnswer(fingerprint: string, now: number): boolean {
		setBounded(this.#answered, fingerprint, now, maxAnswered);
		return this.#marks.delete(fingerprint);
	}

	/** Records a request whose connection broke while a backend server ran it. */
	recordBrokenConnection(serverId: string, fingerprint: string, now: number): void {
		const suspects = [...this.#listSuspects(serverId, now), {fingerprint, at: now}].slice(-maxSuspectsPerServer);
		setBounded(this.#suspects, serverId, suspects, maxServers);
	}

	/** Records a crash of a backend server and marks the requests that it ran, except those answered before; true if any. */
	recordCrash(serverId: string, now: number): boolean {
		const suspects = this.#listSuspects(serverId, now).filter(({fingerprint}) => !this.#answered.has(fingerprint));
		this.#suspects.delete(serverId);
		suspects.forEach(({fingerprint}) => {
			const serverIds = [...new Set([...this.#marks.get(fingerprint)?.serverIds ?? [], serverId])].slice(-maxServersPerMark);
			setBounded(this.#marks, fingerprint, {fingerprint, serverIds, expiresAt: now + quarantineMs}, maxMarks);
		});
		return suspects.length > 0;
	}

	/** Restores marks that an earlier process of this node has made. */
	addEarlierMarks(marks: readonly PoisonMark[], now: number): void {
		marks.filter(mark => isClearance(mark) && mark.expiresAt > now).forEach(mark => {
			setBounded(this.#clearances, mark.fingerprint, mark, maxClearances);
		});
		const restored = mergePoisonMarks([...this.#marks.values(), ...marks.filter(mark => !isClearance(mark) && !this.#answered.has(mark.fingerprint))], now);
		[...restored.values()].toSorted((a, b) => a.expiresAt - b.expiresAt).forEach(mark => {
			setBounded(this.#marks, mark.fingerprint, {...mark, serverIds: mark.serverIds.slice(-maxServersPerMark)}, maxMarks);
		});
	}

	/**
	 * Applies what all nodes publish: clears own marks of requests that others have answered since, and clears the others' marks of
	 * requests that were answered here. Returns true if what this node publishes has changed.
	 */
	applyFleetMarks(marks: readonly PoisonMark[]): boolean {
		const clearances = findClearances(marks);
		const cleared = [...this.#marks.values()].filter(({fingerprint, expiresAt}) => expiresAt <= (clearances.get(fingerprint) ?? 0));
		const answered = selectUncleared(marks).filter(({fingerprint, expiresAt}) => expiresAt <= this.#computeClearedUntil(fingerprint));
		cleared.forEach(({fingerprint}) => {
			this.#marks.delete(fingerprint);
		});
		answered.forEach(({fingerprint}) => {
			this.#marks.delete(fingerprint);
			setBounded(this.#clearances, fingerprint, {fingerprint, serverIds: [], expiresAt: this.#computeClearedUntil(fingerprint)}, maxClearances);
		});
		return cleared.length + answered.length > 0;
	}

	/** Lists the unexpired marks, which this node publishes, and the clearances for which they leave room. */
	listMarks(now: number): readonly PoisonMark[] {
		return [...this.#clearances.values(), ...this.#marks.values()].filter(({expiresAt}) => expiresAt > now).slice(-maxMarks);
	}

	/** Expiry up to which marks of a request come from crashes that its latest answer here speaks against; 0 without an answer. */
	#computeClearedUntil(fingerprint: string): number {
		const answeredAt = this.#answered.get(fingerprint);
		return answeredAt === undefined ? 0 : answeredAt + answerLeadMs + quarantineMs;
	}

	#listSuspects(serverId: string, now: number): readonly Suspect[] {
		return (this.#suspects.get(serverId) ?? []).filter(({at}) => now - at < suspectLifetimeMs);
	}
}
