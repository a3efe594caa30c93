/** Text in parts that each fit into one value of the object API. */
import {createHash} from 'node:crypto';

/** Length of one part in UTF-16 units; each takes at most three bytes. */
const partLength = 262_144;

const maxUnit = 0xFF_FF;

/** SHA-256 of a text in hexadecimal. */
export function hashText(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}

function findEnd(text: string, start: number): number {
	const end = start + partLength;
	const isInsideCharacter = (text.codePointAt(end - 1) ?? 0) > maxUnit;
	return isInsideCharacter ? end - 1 : end;
}

/** Splits a text; no part ends inside a character. */
export function flattenToParts(text: string): readonly string[] {
	const parts: string[] = [];
	let start = 0;
	while (start < text.length) {
		const end = findEnd(text, start);
		parts.push(text.slice(start, end));
		start = end;
	}

	return parts;
}
