/** Buffers a response until it is complete, so that a truncated one can be replaced by that of another attempt. */
import {exchangeWindowBytes, type ExchangeHandler, type ResponseHead} from '@limpetbarrow/core';

/** Buffers one response. A response larger than a flow-control window is streamed once it has been selected. */
export class BufferedResponse {
	#head: ResponseHead | undefined;
	#chunks: Uint8Array[] = [];
	#bufferedBytes = 0;
	#handler: ExchangeHandler | undefined;

	/** Status of the response; 0 before its head has been received. */
	getStatus(): number {
		return this.#head?.status ?? 0;
	}

	setHead(head: ResponseHead): void {
		this.#head = head;
	}

	/** Adds a chunk of the body. Returns false when the buffer is full and the response is not being forwarded yet. */
	addChunk(chunk: Uint8Array): boolean {
		if (this.#handler) {
			this.#handler.handleData(chunk);
			return true;
		}

		this.#bufferedBytes += chunk.length;
		this.#chunks.push(chunk);
		return this.#bufferedBytes < exchangeWindowBytes;
	}

	/** Forwards the buffered part, and every later chunk as it arrives. Does nothing before the head has been received. */
	startForwarding(handler: ExchangeHandler): void {
		if (this.#handler !== undefined || this.#head === undefined) {
			return;
		}

		this.#handler = handler;
		handler.handleHead(this.#head);
		this.#chunks.forEach(chunk => {
			handler.handleData(chunk);
		});
		this.#chunks = [];
	}
}
