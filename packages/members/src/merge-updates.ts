/** Merges updates into the entry that a node keeps of a member. */
import {
	hashText, replacePartHash, replaceParts,
} from './record-parts.js';
import {maxParts} from './constants.js';
import {
	type MemberEntry, type MemberStatus, type MemberUpdate, type PartUpdate, type StatusUpdate,
} from './types.js';

const statusRanks: Readonly<Record<MemberStatus, number>> = {alive: 0, suspect: 1, dead: 2};

/** True when `update` overrides the known status: it has a higher refutation counter, or the same one and a worse status. */
export function isNewerStatus(update: Pick<StatusUpdate, 'refutation' | 'status'>, entry: Pick<MemberEntry, 'refutation' | 'status'>): boolean {
	return update.refutation > entry.refutation
		|| (update.refutation === entry.refutation && statusRanks[update.status] > statusRanks[entry.status]);
}

/** Creates an empty entry for a run that is not known yet. */
export function createEntry(id: string, incarnation: number, now: number): MemberEntry {
	return {
		id, incarnation, refutation: 0, status: 'alive', statusAt: now, isSuspectedLocally: false, parts: [], partsHash: 0,
	};
}

function mergePart(entry: MemberEntry | undefined, {id, incarnation, part}: PartUpdate, now: number): MemberEntry | undefined {
	if (entry !== undefined && incarnation < entry.incarnation) {
		return entry;
	}

	const base = entry?.incarnation === incarnation ? entry : createEntry(id, incarnation, now);
	const known = base.parts.find(({slot}) => slot === part.slot);
	if (part.slot >= maxParts || (known !== undefined && known.version >= part.version)) {
		return entry;
	}

	const parts = replaceParts(base.parts, [part]);
	return {...base, parts, partsHash: replacePartHash(base.partsHash, known, part)};
}

function mergeStatus(entry: MemberEntry | undefined, update: StatusUpdate, now: number): MemberEntry | undefined {
	return entry?.incarnation === update.incarnation && isNewerStatus(update, entry)
		? {
			...entry, refutation: update.refutation, status: update.status, statusAt: now, isSuspectedLocally: false,
		}
		: entry;
}

/** Merges an update into an entry; returns the same entry if the update changes nothing. */
export function mergeUpdate(entry: MemberEntry | undefined, update: MemberUpdate, now: number): MemberEntry | undefined {
	return update.kind === 'part' ? mergePart(entry, update, now) : mergeStatus(entry, update, now);
}

/** Hashes the run, refutation counter and part versions of an entry, for digests. */
export function hashEntry({id, incarnation, refutation, partsHash}: MemberEntry): number {
	return hashText(`${id}:${incarnation}:${refutation}:${partsHash}`);
}
