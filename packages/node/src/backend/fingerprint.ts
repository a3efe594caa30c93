/** Request fingerprints, which identify a request when it is sent again. */
import {createHash} from 'node:crypto';
import {exchangeWindowBytes, findHeader, type RequestHead} from '@limpetbarrow/core';

const headHashLength = 10;
const bodyHashLength = 14;

/** Hashes service, method and path, which are known before the body. */
export function hashHead({service, method, path}: RequestHead): string {
	return createHash('sha256').update(`${service}\n${method}\n${path}`).digest('base64url').slice(0, headHashLength);
}

/** Computes a request's fingerprint incrementally while its body is forwarded. */
export class FingerprintBuilder {
	readonly headHash: string;
	readonly #idempotencyKey: string | undefined;
	/** The body's length as the head names it; empty if it doesn't. */
	readonly #namedLength: string;
	readonly #hash = createHash('sha256');
	#bodyBytes = 0;
	#isBodyComplete = false;

	constructor(head: RequestHead) {
		this.headHash = hashHead(head);
		this.#idempotencyKey = head.idempotencyKey;
		this.#namedLength = findHeader(head.headers, 'content-length') ?? '';
	}

	addChunk(chunk: Uint8Array): void {
		const room = Math.max(0, exchangeWindowBytes - this.#bodyBytes);
		this.#bodyBytes += chunk.length;
		if (room > 0) {
			this.#hash.update(chunk.subarray(0, room));
		}
	}

	/** Marks the body as complete. */
	endBody(): void {
		this.#isBodyComplete = true;
	}

	/**
	 * Returns the fingerprint of the head and the body. A larger body than one window is passed on before it has ended, so its first
	 * window and the length that the head names stand for it. While a smaller body is incomplete, the head and the idempotency key
	 * do; undefined if there is no key.
	 */
	findFingerprint(): string | undefined {
		if (this.#bodyBytes >= exchangeWindowBytes) {
			return `${this.headHash}.${this.#hashBody()}.${this.#namedLength}`;
		}

		if (this.#isBodyComplete) {
			return `${this.headHash}.${this.#hashBody()}`;
		}

		return this.#idempotencyKey === undefined ? undefined : `${this.headHash}.key-${createHash('sha256').update(this.#idempotencyKey).digest('base64url').slice(0, bodyHashLength)}`;
	}

	#hashBody(): string {
		return this.#hash.copy().digest('base64url').slice(0, bodyHashLength);
	}
}
