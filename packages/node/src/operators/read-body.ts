/** Reads size-limited JSON bodies of requests to the admin API. */
import {Buffer} from 'node:buffer';
import {createFailure, FailureError} from '@limpetbarrow/core';

/** Reads a UTF-8 body; throws a `FailureError` if it has more than `maxBytes` bytes. */
export async function readBoundedText(body: AsyncIterable<Uint8Array>, maxBytes: number): Promise<string> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	for await (const chunk of body) {
		size += chunk.length;
		if (size > maxBytes) {
			throw new FailureError(createFailure('bodyTooLarge', `the body has more than ${maxBytes} bytes`));
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString('utf8');
}

/** Parses a JSON body; returns undefined for an empty one and throws a `FailureError` for invalid JSON. */
export function parseJsonBody(text: string): unknown {
	if (text === '') {
		return undefined;
	}

	try {
		return JSON.parse(text);
	} catch {
		throw new FailureError(createFailure('malformedRequest', 'the body is not valid JSON'));
	}
}
