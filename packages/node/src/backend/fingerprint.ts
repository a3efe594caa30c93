/** Request fingerprints, which identify a request when it is sent again. */
import {createHash} from 'node:crypto';
import {exchangeWindowBytes, type RequestHead} from '@limpetbarrow/core';

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
	readonly #hash = createHash('sha256');
	#bodyBytes = 0;
	#isBodyComplete = false;

	constructor(head: RequestHead) {
		this.headHash = hashHead(head);
		this.#idempotencyKey = head.idempotencyKey;
	}

	addChunk(chunk: Uint8Array): void {
		this.#bodyBytes += chunk.length;
		if (this.#bodyBytes <= exchangeWindowBytes) {
			this.#hash.update(chunk);
		}
	}

	/** Marks the body as complete. */
	endBody(): void {
		this.#isBodyComplete = true;
	}

	/**
	 * Returns the fingerprint of the head and a complete body of at most one window, else of the head and the idempotency
	 * key; undefined if there is neither.
	 */
	findFingerprint(): string | undefined {
		if (this.#isBodyComplete && this.#bodyBytes <= exchangeWindowBytes) {
			return `${this.headHash}.${this.#hash.copy().digest('base64url').slice(0, bodyHashLength)}`;
		}

		return this.#idempotencyKey === undefined ? undefined : `${this.headHash}.key-${createHash('sha256').update(this.#idempotencyKey).digest('base64url').slice(0, bodyHashLength)}`;
	}
}
