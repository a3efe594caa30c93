/**
 * A node's record as parts that change and travel on their own.
 *
 * Slot 0 is the profile, 1 the release, 2 the poison marks; each backend server has a slot from 3 on. A part carries the
 * record's sequence at its last change, so parts can arrive in any order and a lost one hides no other.
 */
import {Buffer} from 'node:buffer';
import {type NodeRecord, type PoisonMark, type ServerRecord} from '@limpetbarrow/core';

/** What a record says of the node itself. */
export type Profile = Pick<NodeRecord, 'placement' | 'linkAddress' | 'gossipAddress' | 'ingressAddress' | 'adminAddress' | 'state'>;

/** Value of a part; undefined in the slot of a backend server that has gone. */
export type PartValue = Profile | number | readonly PoisonMark[] | ServerRecord | undefined;

/** One part of a record. */
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
const foldModulus = 67_108_859;
const textFactor = 65_599;

/** Hashes text to a number below 2^32. */
export function hashText(text: string): number {
	return Buffer.from(text).reduce((hash, byte) => ((hash * textFactor) + byte) % hashModulus, 7);
}

function hashPart({slot, version}: RecordPart): number {
	const folded = ((slot * slotFactor) + version + 1) % foldModulus;
	return (folded * folded) % hashModulus;
}

/** Hashes the versions of parts; their order does not matter. */
export function hashParts(parts: readonly RecordPart[]): number {
	return parts.reduce((sum, part) => (sum + hashPart(part)) % hashModulus, 0);
}

/** The hash after one part took the place of another. */
export function replacePartHash(hash: number, before: RecordPart | undefined, after: RecordPart): number {
	const removed = before === undefined ? 0 : hashPart(before);
	return (hash + hashModulus - removed + hashPart(after)) % hashModulus;
}

function selectProfile({placement, linkAddress, gossipAddress, ingressAddress, adminAddress, state}: NodeRecord): Profile {
	return {
		placement, linkAddress, gossipAddress, ingressAddress, adminAddress, state,
	};
}

function isEqual(one: PartValue, other: PartValue): boolean {
	return one === other || JSON.stringify(one) === JSON.stringify(other);
}

function hasServer(part: RecordPart): boolean {
	return part.slot >= firstServerSlot && part.value !== undefined;
}

/** Finds the backend server of a part; undefined for other parts and empty slots. */
export function findServer(part: RecordPart): ServerRecord | undefined {
	return hasServer(part) ? part.value as ServerRecord : undefined;
}

/** Builds the record from its parts; undefined while the profile is missing. */
export function createRecord(id: string, incarnation: number, parts: readonly RecordPart[]): NodeRecord | undefined {
	const profile = parts.find(({slot}) => slot === profileSlot)?.value as Profile | undefined;
	return profile && {
		id,
		incarnation,
		sequence: Math.max(...parts.map(({version}) => version)),
		...profile,
		release: (parts.find(({slot}) => slot === releaseSlot)?.value ?? 0) as number,
		servers: parts.filter(part => hasServer(part)).map(({value}) => value as ServerRecord),
		poison: (parts.find(({slot}) => slot === poisonSlot)?.value ?? []) as readonly PoisonMark[],
	};
}

function computeSlotValues(record: NodeRecord, known: readonly RecordPart[]): ReadonlyMap<number, PartValue> {
	const byId = new Map(known.filter(part => hasServer(part)).map(part => [findServer(part)!.id, part.slot]));
	const serverIds = new Set(record.servers.map(({id}) => id));
	const taken = new Set([...byId].filter(([id]) => serverIds.has(id)).map(([, slot]) => slot));
	const highest = Math.max(firstServerSlot, ...known.map(({slot}) => slot)) + record.servers.length + 1;
	const free = Array.from({length: highest}, (_, index) => firstServerSlot + index).filter(slot => !taken.has(slot));
	const added = record.servers.filter(({id}) => !byId.has(id)).map(({id}, index) => [id, free[index]!] as const);
	const slots = new Map([...byId, ...added]);
	const empty = known.filter(({slot}) => slot >= firstServerSlot).map(({slot}) => [slot, undefined] as const);
	return new Map<number, PartValue>([
		...empty,
		[profileSlot, selectProfile(record)],
		[releaseSlot, record.release],
		[poisonSlot, record.poison],
		...record.servers.map(server => [slots.get(server.id)!, server] as const),
	]);
}

/** The parts in which `record` differs from the known ones, under the given version. */
export function selectChangedParts(record: NodeRecord, known: readonly RecordPart[], version: number): readonly RecordPart[] {
	return [...computeSlotValues(record, known)]
		.filter(([slot, value]) => {
			const part = known.find(candidate => candidate.slot === slot);
			return part === undefined || !isEqual(part.value, value);
		})
		.map(([slot, value]) => ({slot, version, value}));
}

/** Puts newer parts in place of older ones. */
export function replaceParts(known: readonly RecordPart[], newer: readonly RecordPart[]): readonly RecordPart[] {
	const slots = new Set(newer.map(({slot}) => slot));
	return [...known.filter(({slot}) => !slots.has(slot)), ...newer].toSorted((a, b) => a.slot - b.slot);
}
