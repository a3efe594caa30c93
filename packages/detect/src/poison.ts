/** Finds requests that crash the backend servers that run them. */
import {type PoisonMark} from '@limpetbarrow/core';

/** Time a request stays refused after its last crash, in milliseconds. */
export const quarantineMs = 600_000;

/** Distinct backend servers that a request has to crash before it is refused. */
export const crashesBeforeQuarantine = 2;

/** Marks that one node publishes at most. */
export const maxMarks = 32;

/** Marks of the whole fleet that a node keeps at most. */
export const maxMergedMarks = 1024;

const suspectLifetimeMs = 5000;
const maxSuspectsPerServer = 64;
const maxServers = 64;
const maxAnswered = 4096;

type Suspect = {
	readonly fingerprint: string;
	readonly at: number;
};

/** Merges the marks of all nodes: all servers crashed by a request, and the latest expiry. Expired marks are left out. */
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

/** True when a request is to be refused. */
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

/** What one node has seen of crashes. Times are Unix milliseconds given by the caller. */
export class PoisonRegister {
	readonly #suspects = new Map<string, readonly Suspect[]>();
	readonly #answered = new Map<string, true>();
	readonly #marks = new Map<string, PoisonMark>();

	/** Takes a request that was answered whole: it is no poison, even if it runs beside one that is. */
	recordAnswer(fingerprint: string): void {
		setBounded(this.#answered, fingerprint, true, maxAnswered);
		this.#marks.delete(fingerprint);
	}

	/** Takes a request whose connection broke while a backend server ran it. */
	recordBrokenConnection(serverId: string, fingerprint: string, now: number): void {
		const suspects = [...this.#listSuspects(serverId, now), {fingerprint, at: now}].slice(-maxSuspectsPerServer);
		setBounded(this.#suspects, serverId, suspects, maxServers);
	}

	/** Takes that a backend server has crashed: marks what it ran, but for what was answered before. True when marks changed. */
	recordCrash(serverId: string, now: number): boolean {
		const suspects = this.#listSuspects(serverId, now).filter(({fingerprint}) => !this.#answered.has(fingerprint));
		this.#suspects.delete(serverId);
		suspects.forEach(({fingerprint}) => {
			const serverIds = [...new Set([...this.#marks.get(fingerprint)?.serverIds ?? [], serverId])];
			setBounded(this.#marks, fingerprint, {fingerprint, serverIds, expiresAt: now + quarantineMs}, maxMarks);
		});
		return suspects.length > 0;
	}

	/** The marks this node publishes. */
	listMarks(now: number): readonly PoisonMark[] {
		return [...this.#marks.values()].filter(({expiresAt}) => expiresAt > now);
	}

	#listSuspects(serverId: string, now: number): readonly Suspect[] {
		return (this.#suspects.get(serverId) ?? []).filter(({at}) => now - at < suspectLifetimeMs);
	}
}
