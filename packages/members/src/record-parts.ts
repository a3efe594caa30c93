/**
 * Splits a node's record into parts that are versioned and sent independently.
 *
 * Slot 0 holds the profile, slot 1 the release and slot 2 the poison marks. Each backend server has its own slot, from 3 on.
 * The version of a part is the record's sequence at the part's last change, so parts can arrive in any order and a lost
 * part doesn't hide the others.
 */
import {Buffer} from 'node:buffer';
import {type NodeRecord, type PoisonMark, type ServerRecord} from '@limpetbarrow/core';

/** The fields of a record that describe the node itself. */
export type Profile = Pick<NodeRecord, 'placement' | 'linkAddress' | 'gossipAddress' | 'ingressAddress' | 'adminAddress' | 'state' | 'storeEra'>;

/** Value of a part; undefined in the slot of a backend server that was removed. */
export type PartValue = Profile | number | readonly PoisonMark[] | ServerRecord | undefined;

/** One part of a record: the value of a slot and its version. */
export type RecordPart = {
	readonly slot: number;
	readonly version: number;
	readonly value: PartValue;
};

export const profileSlot = 0;
export const releaseSlot = 1;
export const poisonSlot = 2;
export const firstServerSlot = 3;

const hashModulus = 4_294_967_291;
const slotFactor = 1_000_003;
/** Below 2^26, so that the square of a remainder is an exact integer. */
const foldModulus = 67_108_859;
const textFactor = 65_599;

/** Hashes text to an integer below 2^32. */
export function hashText(text: string): number {
	return Buffer.from(text).reduce((hash, byte) => ((hash * textFactor) + byte) % hashModulus, 7);
}

function hashPart({slot, version}: RecordPart): number {
	const folded = ((slot * slotFactor) + version + 1) % foldModulus;
	return (folded * folded) % hashModulus;
}

/** Hashes the slots and versions of parts, independently of their order. */
export function hashParts(parts: readonly RecordPart[]): number {
	return parts.reduce((sum, part) => (sum + hashPart(part)) % hashModulus, 0);
}

/** Updates the hash of parts for a part that replaces another one, or that is added when `before` is undefined. */
export function replacePartHash(hash: number, before: RecordPart | undefined, after: RecordPart): number {
	const removed = before === undefined ? 0 : hashPart(before);
	return (hash + hashModulus - removed + hashPart(after)) % hashModulus;
}

function selectProfile({placement, linkAddress, gossipAddress, ingressAddress, adminAddress, state, storeEra}: NodeRecord): Profile {
	return {
		placement, linkAddress, gossipAddress, ingressAddress, adminAddress, state, ...(storeEra !== undefined && {storeEra}),
	};
}

function isEqual(one: PartValue, other: PartValue): boolean {
	return one === other || JSON.stringify(one) === JSON.stringify(other);
}

function hasServer(part: RecordPart): boolean {
	return part.slot >= firstServerSlot && part.value !== undefined;
}

/** Returns the backend server in a part; undefined for other kinds of parts and for empty slots. */
export function findServer(part: RecordPart): ServerRecord | undefined {
	return hasServer(part) ? part.value as ServerRecord : undefined;
}

/** Returns the release that the parts of a record name, 0 if none does. */
export function findRelease(parts: readonly RecordPart[]): number {
	return (parts.find(({slot}) => slot === releaseSlot)?.value ?? 0) as number;
}

/** Assembles a record from its parts; returns undefined while the profile is missing. */
export function createRecord(id: string, incarnation: number, parts: readonly RecordPart[]): NodeRecord | undefined {
	const profile = parts.find(({slot}) => slot === profileSlot)?.value as Profile | undefined;
	return profile && {
		id,
		incarnation,
		sequence: Math.max(...parts.map(({version}) => version)),
		...profile,
		release: findRelease(parts),
		servers: parts.filter(part => hasServer(part)).map(({value}) => value as ServerRecord),
		poison: (parts.find(({slot}) => slot === poisonSlot)?.value ?? []) as readonly PoisonMark[],
	};
}

function computeSlotValues(record: NodeRecord, known: readonly RecordPart[]): ReadonlyMap<number, PartValue> {
	const slotsById = new Map(known.filter(part => hasServer(part)).map(part => [findServer(part)!.id, part.slot]));
	const serverIds = new Set(record.servers.map(({id}) => id));
	const takenSlots = new Set([...slotsById].filter(([id]) => serverIds.has(id)).map(([, slot]) => slot));
	const candidateCount = Math.max(firstServerSlot, ...known.map(({slot}) => slot)) + record.servers.length + 1;
	const unusedSlots = Array.from({length: candidateCount}, (_, index) => firstServerSlot + index).filter(slot => !takenSlots.has(slot));
	const addedSlots = record.servers.filter(({id}) => !slotsById.has(id)).map(({id}, index) => [id, unusedSlots[index]!] as const);
	const slots = new Map([...slotsById, ...addedSlots]);
	const emptiedSlots = known.filter(({slot}) => slot >= firstServerSlot).map(({slot}) => [slot, undefined] as const);
	return new Map<number, PartValue>([
		...emptiedSlots,
		[profileSlot, selectProfile(record)],
		[releaseSlot, record.release],
		[poisonSlot, record.poison],
		...record.servers.map(server => [slots.get(server.id)!, server] as const),
	]);
}

/** Selects the parts of `record` that differ from the known ones, with `version` as their version. */
export function selectChangedParts(record: NodeRecord, known: readonly RecordPart[], version: number): readonly RecordPart[] {
	return [...computeSlotValues(record, known)]
		.filter(([slot, value]) => {
			const part = known.find(candidate => candidate.slot === slot);
			return part === undefined || !isEqual(part.value, value);
		})
		.map(([slot, value]) => ({slot, version, value}));
}

/** Replaces the parts in the slots of `newer`; returns all parts in the order of their slots. */
export function replaceParts(known: readonly RecordPart[], newer: readonly RecordPart[]): readonly RecordPart[] {
	const slots = new Set(newer.map(({slot}) => slot));
	return [...known.filter(({slot}) => !slots.has(slot)), ...newer].toSorted((a, b) => a.slot - b.slot);
}
