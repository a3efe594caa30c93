/** Names requests, so that the same request is known when it is sent again. */
import {createHash} from 'node:crypto';
import {exchangeWindowBytes, type RequestHead} from '@limpetbarrow/core';

const headHashLength = 10;
const bodyHashLength = 14;

/** Hash of service, method and path: all that is known before the body. */
export function hashHead({service, method, path}: RequestHead): string {
	return createHash('sha256').update(`${service}\n${method}\n${path}`).digest('base64url').slice(0, headHashLength);
}

/** Hashes a body as it passes. */
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

	/** Takes that no more of the body follows. */
	endBody(): void {
		this.#isBodyComplete = true;
	}

	/** The fingerprint: of a small whole body, else of the idempotency key; undefined where neither is there. */
	findFingerprint(): string | undefined {
		if (this.#isBodyComplete && this.#bodyBytes <= exchangeWindowBytes) {
			return `${this.headHash}.${this.#hash.copy().digest('base64url').slice(0, bodyHashLength)}`;
		}

		return this.#idempotencyKey === undefined ? undefined : `${this.headHash}.key-${createHash('sha256').update(this.#idempotencyKey).digest('base64url').slice(0, bodyHashLength)}`;
	}
}
