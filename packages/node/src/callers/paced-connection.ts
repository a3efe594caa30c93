/** A caller's connection whose bytes reach the HTTP parser one request head at a time, and only while its owner takes more. */
import {Buffer} from 'node:buffer';
import {type Server} from 'node:http';
import {type Socket} from 'node:net';
import {Duplex} from 'node:stream';

/** How a paced connection asks its owner for permission to go on. */
export type PacedConnectionOptions = {
	/** The HTTP server that parses the bytes. */
	readonly server: Server;
	/** False while the owner takes no more bytes. `resumeFeeding` must be called when this changes to true. */
	readonly isFeedable: () => boolean;
	/** Called with the change in the number of bytes that are read and not parsed yet. */
	readonly handleBacklog: (change: number) => void;
};

type HandleDone = Parameters<Duplex['_final']>[0];
type DestroyError = Parameters<Duplex['_destroy']>[0];

/** End of an empty line, with which each head ends; the parser accepts no other line ends. */
const headEnd = Buffer.from('\n\r\n');
/** Longest time for which a connection stays open after its last response while the other side has not closed it, in milliseconds. */
export const lingerMs = 30_000;
/**
 * Bytes that are discarded on a connection that is being closed, somewhat more than a body of 64 MiB; what follows is left
 * unread until the connection is closed.
 */
export const maxDiscardedBytes = 83_886_080;
/** Time after the last write during which the other side may still have to read what was written, in milliseconds. */
const deliveryMs = 5000;
/** Time without progress after which what is written counts as unread by the other side, in milliseconds. */
export const stalledMs = 5000;
const lineFeed = 0x0A;
const carriageReturn = 0x0D;

/**
 * Computes the length of the first piece of `bytes`: up to the end of the first empty line. `carry` holds the last bytes
 * before them, as an empty line may begin there.
 */
export function computePieceLength(carry: Uint8Array, bytes: Uint8Array): number {
	const isLineContinued = carry.length > 0 && (bytes[0] === lineFeed || bytes[0] === carriageReturn);
	const start = isLineContinued ? Buffer.concat([carry, bytes.subarray(0, headEnd.length - 1)]).indexOf(headEnd) : -1;
	if (start !== -1) {
		return start + headEnd.length - carry.length;
	}

	const index = (Buffer.isBuffer(bytes) ? bytes : Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length)).indexOf(headEnd);
	return index === -1 ? bytes.length : index + headEnd.length;
}

/**
 * Stands between a socket and the HTTP server. Node's parser reads up to 64 KiB at once and creates all requests in it before
 * any limit can apply, and it resumes a paused socket whenever a request's body is read. This stream gives the parser a piece
 * that ends at most one head, then asks its owner, and reads nothing more from the socket while bytes are waiting.
 */
export class PacedConnection extends Duplex {
	/** Read by Node's HTTP server when the connection times out. */
	readonly server: Server;
	readonly #socket: Socket;
	readonly #options: PacedConnectionOptions;
	/** Bytes read from the socket and not given to the parser yet. */
	#backlog: Uint8Array = new Uint8Array();
	#carry: Uint8Array = new Uint8Array();
	/** Monotonic time at which a part of what is written last left, or began to wait, in milliseconds. */
	#progressAt = 0;
	#isWanted = false;
	#isEnded = false;
	#isClosing = false;
	/** True once this side has ended and only the other side's end is awaited. */
	#isLingering = false;
	#isInputDiscarded = false;
	#discardedBytes = 0;
	#lingerTimer: NodeJS.Timeout | undefined;

	constructor(socket: Socket, options: PacedConnectionOptions) {
		// A read buffer of one byte holds at most one piece, so the owner is asked before each.
		super({readableHighWaterMark: 1, writableHighWaterMark: socket.writableHighWaterMark, decodeStrings: false});
		this.server = options.server;
		this.#socket = socket;
		this.#options = options;
		socket.on('data', (bytes: Uint8Array) => {
			this.#addBacklog(bytes);
		});
		socket.once('end', () => {
			this.#isEnded = true;
			if (this.#isLingering) {
				this.destroy();
			} else {
				this.resumeFeeding();
			}
		});
		socket.once('error', error => {
			this.destroy(error);
		});
		// The HTTP server removes its own listener when it hands a connection over, as for CONNECT.
		this.on('error', () => undefined);
		socket.once('close', () => {
			this.destroy();
		});
		socket.on('timeout', () => {
			this.emit('timeout');
		});
	}

	get remoteAddress(): string | undefined {
		return this.#socket.remoteAddress;
	}

	get remotePort(): number | undefined {
		return this.#socket.remotePort;
	}

	/** Emits `timeout` after that many milliseconds without activity on the socket; 0 turns it off. */
	setTimeout(timeoutMs: number): this {
		this.#socket.setTimeout(timeoutMs);
		return this;
	}

	setNoDelay(isOn?: boolean): this {
		this.#socket.setNoDelay(isOn);
		return this;
	}

	setKeepAlive(isOn?: boolean, initialDelayMs?: number): this {
		this.#socket.setKeepAlive(isOn, initialDelayMs);
		return this;
	}

	/** True when something that was written has not left for `stalledMs`: the other side reads no more. */
	isStalled(): boolean {
		return this.writableLength > 0 && performance.now() - this.#progressAt > stalledMs;
	}

	/** True while the other side may still be reading what was written before this side ended. */
	isDelivering(): boolean {
		return this.#isLingering && !this.destroyed && this.#progressAt > 0 && performance.now() - this.#progressAt < deliveryMs;
	}

	/** Parses nothing more: discards what is waiting and, within a bound, what arrives. The end of the other side is still noticed. */
	stopParsing(): void {
		if (!this.#isInputDiscarded && !this.destroyed) {
			this.#isInputDiscarded = true;
			this.#setBacklog(new Uint8Array());
			this.#socket.resume();
		}
	}

	/**
	 * Closes the connection once everything that was written has left and the other side has closed it, or has had time to.
	 * The kernel resets a connection that is closed with unread bytes or on which more arrive, and drops what it has not
	 * delivered yet; so this side ends first, and what arrives is discarded (RFC 9112, section 9.6).
	 */
	destroySoon(): void {
		if (this.#isClosing) {
			return;
		}

		this.#isClosing = true;
		this.stopParsing();
		if (this.writable) {
			this.end();
		}

		if (this.writableFinished) {
			this.#waitForEnd();
		} else {
			this.once('finish', () => {
				this.#waitForEnd();
			});
		}
	}

	/** Resets the connection, which shows the other side that what it has received is not complete. */
	resetAndDestroy(): void {
		this.#socket.resetAndDestroy();
		this.destroy();
	}

	/** Goes on after the owner has begun to take bytes again. */
	resumeFeeding(): void {
		if (!this.#isWanted || this.destroyed) {
			return;
		}

		if (this.#backlog.length > 0) {
			this.#dispatchPiece();
		} else if (this.#isEnded) {
			this.push(null);
		}
	}

	override _read(): void {
		this.#isWanted = true;
		this.resumeFeeding();
	}

	override _write(chunk: Uint8Array | string, encoding: BufferEncoding, handleWritten: HandleDone): void {
		this.#socket.write(chunk, encoding, this.#watchProgress(handleWritten));
	}

	override _writev(chunks: ReadonlyArray<{readonly chunk: Uint8Array | string; readonly encoding: BufferEncoding}>, handleWritten: HandleDone): void {
		const handleAllWritten = this.#watchProgress(handleWritten);
		this.#socket.cork();
		chunks.forEach(({chunk, encoding}, index) => {
			this.#socket.write(chunk, encoding, index === chunks.length - 1 ? handleAllWritten : undefined);
		});
		this.#socket.uncork();
	}

	override _final(handleFinished: HandleDone): void {
		this.#socket.end(() => {
			handleFinished();
		});
	}

	override _destroy(error: DestroyError, handleDestroyed: HandleDone): void {
		clearTimeout(this.#lingerTimer);
		this.#setBacklog(new Uint8Array());
		this.#socket.destroy();
		handleDestroyed(error);
	}

	#waitForEnd(): void {
		if (this.destroyed) {
			return;
		}

		if (this.#isEnded) {
			this.destroy();
			return;
		}

		this.#isLingering = true;
		this.#socket.setTimeout(0);
		this.#lingerTimer = setTimeout(() => {
			this.destroy();
		}, lingerMs);
		this.#lingerTimer.unref();
	}

	#watchProgress(handleWritten: HandleDone): HandleDone {
		this.#progressAt = performance.now();
		return error => {
			this.#progressAt = performance.now();
			handleWritten(error);
		};
	}

	#addBacklog(bytes: Uint8Array): void {
		if (this.destroyed) {
			return;
		}

		if (this.#isInputDiscarded) {
			this.#discardedBytes += bytes.length;
			if (this.#discardedBytes > maxDiscardedBytes) {
				this.#socket.pause();
			}

			return;
		}

		this.#setBacklog(this.#backlog.length === 0 ? bytes : Buffer.concat([this.#backlog, bytes]));
		this.resumeFeeding();
		if (this.#backlog.length > 0) {
			this.#socket.pause();
		}
	}

	#dispatchPiece(): void {
		if (!this.#options.isFeedable()) {
			return;
		}

		const piece = this.#backlog.subarray(0, computePieceLength(this.#carry, this.#backlog));
		this.#carry = piece.length >= headEnd.length - 1
			? new Uint8Array(piece.subarray(1 - headEnd.length))
			: new Uint8Array(Buffer.concat([this.#carry, piece]).subarray(1 - headEnd.length));
		this.#isWanted = false;
		this.#setBacklog(this.#backlog.subarray(piece.length));
		if (this.#backlog.length === 0) {
			this.#socket.resume();
		}

		this.push(piece);
	}

	#setBacklog(bytes: Uint8Array): void {
		const change = bytes.length - this.#backlog.length;
		this.#backlog = bytes;
		if (change !== 0) {
			this.#options.handleBacklog(change);
		}
	}
}
