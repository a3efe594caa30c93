/** Reads bounded JSON bodies of messages to the admin API. */
import {Buffer} from 'node:buffer';
import {createFailure, FailureError} from '@limpetbarrow/core';

/** Reads a text of at most `maxBytes`. */
export async function readBoundedText(body: AsyncIterable<Uint8Array>, maxBytes: number): Promise<string> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	for await (const chunk of body) {
		size += chunk.length;
		if (size > maxBytes) {
			throw new FailureError(createFailure('bodyTooLarge', `more than ${maxBytes} bytes`));
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString('utf8');
}

/** Reads JSON; undefined when there is no body. */
export function parseJsonBody(text: string): unknown {
	if (text === '') {
		return undefined;
	}

	try {
		return JSON.parse(text);
	} catch {
		throw new FailureError(createFailure('malformedRequest', 'the body is not JSON'));
	}
}
