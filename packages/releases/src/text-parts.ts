/** Splits text into parts that each fit into one value of the object API. */
import {createHash} from 'node:crypto';

/** Maximum length of a part in UTF-16 code units; each takes at most three bytes in UTF-8. */
const maxPartCodeUnits = 262_144;

const maxSingleUnitCodePoint = 0xFF_FF;

/** Returns the SHA-256 hash of a text in hexadecimal. */
export function hashText(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}

function findPartEnd(text: string, start: number): number {
	const end = start + maxPartCodeUnits;
	const isInsideCharacter = (text.codePointAt(end - 1) ?? 0) > maxSingleUnitCodePoint;
	return isInsideCharacter ? end - 1 : end;
}

/** Splits a text into parts; no part ends between the two code units of a character. */
export function toTextParts(text: string): readonly string[] {
	const parts: string[] = [];
	let start = 0;
	while (start < text.length) {
		const end = findPartEnd(text, start);
		parts.push(text.slice(start, end));
		start = end;
	}

	return parts;
}
