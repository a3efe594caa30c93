/** Joins small parts of a body: each part costs far more memory and time on its way than its bytes do. */
import {Buffer} from 'node:buffer';

/** Size from which on a part is passed on as it is, in bytes. */
const minPartBytes = 1024;
/** Longest time for which a part is held back, in milliseconds. */
const maxDelayMs = 50;

/** Passes on the bytes of a body in order, in parts of at least `minPartBytes` if they arrive soon enough. */
export class PartCollector {
	readonly #handlePart: (part: Uint8Array) => void;
	#parts: Uint8Array[] = [];
	#bytes = 0;
	#timer: NodeJS.Timeout | undefined;

	constructor(handlePart: (part: Uint8Array) => void) {
		this.#handlePart = handlePart;
	}

	add(part: Uint8Array): void {
		this.#parts.push(part);
		this.#bytes += part.length;
		if (this.#bytes >= minPartBytes) {
			this.forward();
		} else {
			this.#timer ??= setTimeout(() => {
				this.forward();
			}, maxDelayMs);
		}
	}

	/** Passes on what is held back. */
	forward(): void {
		const parts = this.#parts;
		this.clear();
		if (parts.length > 0) {
			this.#handlePart(parts.length === 1 ? parts[0]! : Buffer.concat(parts));
		}
	}

	/** Drops what is held back. */
	clear(): void {
		clearTimeout(this.#timer);
		this.#timer = undefined;
		this.#parts = [];
		this.#bytes = 0;
	}
}
