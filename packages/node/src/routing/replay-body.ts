/** The body of a routed request, on its way from the caller to one attempt after another. */
import {exchangeWindowBytes, type Exchange} from '@limpetbarrow/core';

/** Progress of one attempt that takes the body. */
type Reader = {
	readonly consumedBytes: number;
	/** True once the egress has admitted the request, so that no other attempt is likely to need the body. */
	readonly isAccepted: boolean;
};

/**
 * Keeps the parts of a body until no other attempt can need them, and writes each part once and in order to every attempt
 * that takes the body.
 *
 * A body within the first flow-control window is kept as long as the request lasts. Of a larger one, all parts received are
 * kept until an attempt has been accepted; when another part arrives after that, they are dropped, and from then on the body
 * passes through to the attempts that have begun to read it. An attempt is given the whole body or none of it, whether its
 * backend server is on this host or elsewhere.
 */
export class ReplayBody {
	readonly #handleCredit: (bytes: number) => void;
	readonly #readers = new Map<Exchange, Reader>();
	#keptParts: Uint8Array[] = [];
	#receivedBytes = 0;
	#grantedBytes = 0;
	#isKept = true;
	#isEnded = false;

	/** `handleCredit` is called with the number of bytes that an attempt has consumed and none had consumed before. */
	constructor(handleCredit: (bytes: number) => void) {
		this.#handleCredit = handleCredit;
	}

	/** Number of bytes received from the caller. */
	countBytes(): number {
		return this.#receivedBytes;
	}

	isEnded(): boolean {
		return this.#isEnded;
	}

	/** True while another attempt can be given the body from its beginning. */
	isKept(): boolean {
		return this.#isKept;
	}

	/** True when the caller sends no more before an attempt consumes a part: the window is filled. */
	isWindowFull(): boolean {
		return this.#receivedBytes >= exchangeWindowBytes;
	}

	write(part: Uint8Array): void {
		const isAccepted = [...this.#readers.values()].some(reader => reader.isAccepted);
		if (this.#isKept && isAccepted && this.isWindowFull()) {
			this.#isKept = false;
			this.#keptParts = [];
		}

		this.#receivedBytes += part.length;
		if (this.#isKept) {
			this.#keptParts.push(part);
		}

		[...this.#readers.keys()].forEach(exchange => {
			exchange.writeBody(part);
		});
	}

	end(): void {
		this.#isEnded = true;
		[...this.#readers.keys()].forEach(exchange => {
			exchange.endBody();
		});
	}

	/** Writes the parts received so far to an attempt, and the later ones as they arrive; does nothing once parts are dropped. */
	startReading(exchange: Exchange): void {
		if (!this.#isKept || this.#readers.has(exchange)) {
			return;
		}

		this.#readers.set(exchange, {consumedBytes: 0, isAccepted: false});
		this.#keptParts.forEach(part => {
			exchange.writeBody(part);
		});
		if (this.#isEnded) {
			exchange.endBody();
		}
	}

	/** Records that an attempt that reads the body was accepted. */
	recordAcceptance(exchange: Exchange): void {
		const reader = this.#readers.get(exchange);
		if (reader) {
			this.#readers.set(exchange, {...reader, isAccepted: true});
		}
	}

	/** Records that an attempt has consumed that many more bytes. What a second attempt reads again gives the caller no credit. */
	recordConsumption(exchange: Exchange, bytes: number): void {
		const reader = this.#readers.get(exchange);
		if (!reader) {
			return;
		}

		const consumedBytes = reader.consumedBytes + bytes;
		this.#readers.set(exchange, {consumedBytes, isAccepted: true});
		const newBytes = consumedBytes - this.#grantedBytes;
		if (newBytes > 0) {
			this.#grantedBytes = consumedBytes;
			this.#handleCredit(newBytes);
		}
	}

	/** Writes no more to an attempt that has ended. */
	stopReading(exchange: Exchange): void {
		this.#readers.delete(exchange);
	}
}
