/** The marks of poison requests of a whole fleet, which outlive the nodes that made them. */
import {type PoisonMark} from '@limpetbarrow/core';
import {maxMarks, quarantineMs} from './poison.js';

/** The marks that one process of a node publishes or has stored. */
export type NodeMarks = {
	readonly nodeId: string;
	readonly incarnation: number;
	readonly marks: readonly PoisonMark[];
};

/** What is kept of one node. */
type KeptMarks = {
	/** Newest process of the node that is known. */
	readonly incarnation: number;
	/** Fingerprints that this process has published; one that it publishes no more is cleared. */
	readonly published: ReadonlySet<string>;
	readonly marks: readonly PoisonMark[];
};

/** Returns the later ones of the unexpired marks, at most `maxMarks`, with the newest state of each. */
function selectLatest(marks: readonly PoisonMark[], now: number): readonly PoisonMark[] {
	const byFingerprint = new Map(marks.filter(({expiresAt}) => expiresAt > now).map(mark => [mark.fingerprint, mark]));
	return [...byFingerprint.values()].toSorted((a, b) => a.expiresAt - b.expiresAt).slice(-maxMarks);
}

/** Lets stored marks end in time even if the clock of their node was ahead when they were made. */
export function applyExpiryLimit(marks: readonly PoisonMark[], now: number): readonly PoisonMark[] {
	return marks.map(mark => ({...mark, expiresAt: Math.min(mark.expiresAt, now + quarantineMs)}));
}

/**
 * Keeps the marks of every node until they expire, so that they hold while the node is away and after it has been restarted or
 * removed. Only the process that published a mark clears it. Times are Unix milliseconds given by the caller.
 */
export class FleetMarks {
	#kept: ReadonlyMap<string, KeptMarks> = new Map();

	/** Records what live nodes publish now. */
	recordPublished(nodes: readonly NodeMarks[], now: number): void {
		const changed = nodes.filter(({nodeId, marks}) => marks.length > 0 || this.#kept.has(nodeId)).map(({nodeId, incarnation, marks}): readonly [string, KeptMarks] => {
			const known = this.#kept.get(nodeId);
			const published = new Set(marks.map(({fingerprint}) => fingerprint));
			const isCleared = ({fingerprint}: PoisonMark): boolean => known?.incarnation === incarnation && known.published.has(fingerprint) && !published.has(fingerprint);
			return [nodeId, {incarnation, published, marks: selectLatest([...(known?.marks ?? []).filter(mark => !isCleared(mark)), ...marks], now)}];
		});
		this.#setUnexpired(new Map([...this.#kept, ...changed]), now);
	}

	/** Records what nodes have stored; a node that has published marks since then knows better. */
	recordStored(nodes: readonly NodeMarks[], now: number): void {
		const unknown = nodes.filter(({nodeId, incarnation}) => (this.#kept.get(nodeId)?.incarnation ?? -1) < incarnation);
		this.#setUnexpired(new Map([...this.#kept, ...unknown.map(({nodeId, incarnation, marks}): readonly [string, KeptMarks] => [nodeId, {
			incarnation,
			published: new Set(marks.map(({fingerprint}) => fingerprint)),
			marks: selectLatest([...this.#kept.get(nodeId)?.marks ?? [], ...applyExpiryLimit(marks, now)], now),
		}])]), now);
	}

	/** Lists the unexpired marks of all nodes. */
	list(now: number): readonly PoisonMark[] {
		return [...this.#kept.values()].flatMap(({marks}) => marks).filter(({expiresAt}) => expiresAt > now);
	}

	#setUnexpired(kept: ReadonlyMap<string, KeptMarks>, now: number): void {
		this.#kept = new Map([...kept].filter(([, {marks}]) => marks.some(({expiresAt}) => expiresAt > now)));
	}
}
