/** Holds an answer back until it is whole, so that one that breaks off can be replaced by another. */
import {exchangeWindowBytes, type ExchangeHandler, type ResponseHead} from '@limpetbarrow/core';

/** Collects one answer; what is larger than a window is passed on as it comes. */
export class BufferedResponse {
	#head: ResponseHead | undefined;
	#chunks: readonly Uint8Array[] = [];
	#bufferedBytes = 0;
	#handler: ExchangeHandler | undefined;

	/** Status of the answer; 0 before its head has come. */
	getStatus(): number {
		return this.#head?.status ?? 0;
	}

	setHead(head: ResponseHead): void {
		this.#head = head;
	}

	/** Takes a part of the body. False when the buffer is full and nothing was chosen to be sent yet. */
	addChunk(chunk: Uint8Array): boolean {
		if (this.#handler) {
			this.#handler.handleData(chunk);
			return true;
		}

		this.#bufferedBytes += chunk.length;
		this.#chunks = [...this.#chunks, chunk];
		return this.#bufferedBytes < exchangeWindowBytes;
	}

	/** Passes on what is here, and from now on what comes. */
	startForwarding(target: ExchangeHandler): void {
		if (this.#handler !== undefined || this.#head === undefined) {
			return;
		}

		this.#handler = target;
		target.handleHead(this.#head);
		this.#chunks.forEach(chunk => {
			target.handleData(chunk);
		});
		this.#chunks = [];
	}
}
