/** The body of a request to a backend server: buffered completely if it is small, else streamed. */
import {Buffer} from 'node:buffer';
import {Readable} from 'node:stream';
import {
	exchangeWindowBytes, findHeader, selectHeaders, type RawHeaders, type RequestHead,
} from '@limpetbarrow/core';

/** How a body is sent, by its headers. `whole` bodies are buffered first, as they arrive within the first flow-control window. */
export type BodyForm = 'none' | 'whole' | 'streamed';

/** Determines the form of a body from the request's headers. */
export function getBodyForm(headers: RawHeaders): BodyForm {
	const length = findHeader(headers, 'content-length');
	if (length !== undefined) {
		const bytes = Number(length);
		return bytes === 0 ? 'none' : (bytes < exchangeWindowBytes ? 'whole' : 'streamed');
	}

	return findHeader(headers, 'transfer-encoding') === undefined ? 'none' : 'streamed';
}

const framingHeaders: ReadonlySet<string> = new Set(['transfer-encoding', 'content-length']);

/** Replaces `transfer-encoding` by `content-length`, for a body that has been buffered completely. */
export function replaceFramingHeaders(head: RequestHead, bytes: number): RequestHead {
	return findHeader(head.headers, 'transfer-encoding') === undefined
		? head
		: {...head, headers: [...selectHeaders(head.headers, name => !framingHeaders.has(name)), 'content-length', String(bytes)]};
}

/** Buffers the chunks that arrive before the request is started, and streams later ones. */
export class RequestBody {
	readonly #handleConsumed: (bytes: number) => void;
	#chunks: Uint8Array[] = [];
	#isEnded = false;
	#stream: Readable | undefined;
	#unconsumedBytes = 0;

	/** `handleConsumed` is called with the number of bytes that the backend server's connection has consumed. */
	constructor(handleConsumed: (bytes: number) => void) {
		this.#handleConsumed = handleConsumed;
	}

	write(chunk: Uint8Array): void {
		if (this.#stream) {
			this.#addChunk(chunk);
		} else {
			this.#chunks.push(chunk);
		}
	}

	end(): void {
		this.#isEnded = true;
		this.#stream?.push(null);
	}

	/** Returns the body for the HTTP client: bytes if it is complete, else a stream. */
	open(): Uint8Array | Readable {
		const chunks = this.#chunks;
		this.#chunks = [];
		if (this.#isEnded) {
			return chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
		}

		this.#stream = new Readable({
			highWaterMark: 0,
			read: () => {
				this.#reportConsumed();
			},
		});
		this.#stream.on('error', () => {
			// The HTTP client reports the error to the backend run.
		});
		chunks.forEach(chunk => {
			this.#addChunk(chunk);
		});
		return this.#stream;
	}

	close(): void {
		this.#chunks = [];
		this.#stream?.destroy();
	}

	#addChunk(chunk: Uint8Array): void {
		this.#unconsumedBytes += chunk.length;
		this.#stream!.push(chunk);
	}

	#reportConsumed(): void {
		const bytes = this.#unconsumedBytes - this.#stream!.readableLength;
		if (bytes > 0) {
			this.#unconsumedBytes -= bytes;
			this.#handleConsumed(bytes);
		}
	}
}
