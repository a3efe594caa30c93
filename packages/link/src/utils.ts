/** Helper functions of both sides of a link. */
import {type NodeIdentity} from '@limpetbarrow/core';
import {maxPayloadBytes} from './constants.js';

/** True when both identities denote the same incarnation of a node. */
export function isSameNode(one: NodeIdentity, other: NodeIdentity): boolean {
	return one.id === other.id && one.incarnation === other.incarnation;
}

/** Splits a body chunk into parts that fit into one frame each, and calls `write` with each part in order. */
export function writeParts(chunk: Uint8Array, write: (part: Uint8Array) => void): void {
	if (chunk.length <= maxPayloadBytes) {
		write(chunk);
		return;
	}

	write(chunk.subarray(0, maxPayloadBytes));
	writeParts(chunk.subarray(maxPayloadBytes), write);
}
