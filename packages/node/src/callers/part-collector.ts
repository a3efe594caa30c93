/** Joins small parts of a body: each part costs far more memory and time on its way than its bytes do. */
import {Buffer} from 'node:buffer';

/** Size from which on a part is passed on as it is, in bytes. */
const minPartBytes = 1024;
/** Longest time for which a part is held back, in milliseconds. */
const maxDelayMs = 50;

/** Passes on the bytes of a body in order, in parts of at least `minPartBytes` if they arrive soon enough. */
export class PartCollector {
	readonly #handlePart: (part: Uint8Array) => void;
	#isNextPassedOn: boolean;
	#held: Uint8Array | undefined;
	#bytes = 0;
	#timer: NodeJS.Timeout | undefined;

	/** With `isFirstPassedOn`, the first part is passed on at once, so that the receiver sees the body begin. */
	constructor(handlePart: (part: Uint8Array) => void, {isFirstPassedOn = false} = {}) {
		this.#handlePart = handlePart;
		this.#isNextPassedOn = isFirstPassedOn;
	}

	add(part: Uint8Array): void {
		if (this.#isNextPassedOn) {
			this.#isNextPassedOn = false;
			this.#handlePart(part);
		} else if (this.#bytes + part.length >= minPartBytes) {
			const whole = this.#held ? Buffer.concat([this.#held.subarray(0, this.#bytes), part]) : part;
			this.clear();
			this.#handlePart(whole);
		} else if (part.length > 0) {
			// A copy, as a small part may refer to a large buffer of its connection and would keep it in memory.
			this.#held ??= Buffer.allocUnsafe(minPartBytes);
			this.#held.set(part, this.#bytes);
			this.#bytes += part.length;
			this.#timer ??= setTimeout(() => {
				this.forward();
			}, maxDelayMs);
		}
	}

	/** Passes on what is held back. */
	forward(): void {
		const part = this.#held && Buffer.from(this.#held.subarray(0, this.#bytes));
		this.clear();
		if (part) {
			this.#handlePart(part);
		}
	}

	/** Drops what is held back. */
	clear(): void {
		clearTimeout(this.#timer);
		this.#timer = undefined;
		this.#held = undefined;
		this.#bytes = 0;
	}
}
