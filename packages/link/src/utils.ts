/** Small helpers of links. */
import {type NodeIdentity} from '@limpetbarrow/core';
import {maxPayloadBytes} from './constants.js';

/** True when both name the same run of a node. */
export function isSameNode(one: NodeIdentity, other: NodeIdentity): boolean {
	return one.id === other.id && one.incarnation === other.incarnation;
}

/** Calls `write` with parts of the body that fit a frame each. */
export function writeParts(chunk: Uint8Array, write: (part: Uint8Array) => void): void {
	if (chunk.length <= maxPayloadBytes) {
		write(chunk);
		return;
	}

	write(chunk.subarray(0, maxPayloadBytes));
	writeParts(chunk.subarray(maxPayloadBytes), write);
}
