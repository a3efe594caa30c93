/** The requests sent on one connection to a backend server, and what arrived beyond their responses. */
import {Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import {Client, type Dispatcher} from 'undici';

/** Bytes that arrived on a connection beyond the end of a response. */
export type ExcessBytes = {
	/** Id of the last request that was sent on the connection. */
	readonly requestId: string;
	readonly bytes: number;
};

/** Options of a dispatch; `handleConnection` is told on which connection the request will be sent. */
export type ConnectionDispatchOptions = Dispatcher.DispatchOptions & {
	readonly handleConnection?: (requests: ConnectionRequests) => void;
};

/** Number of request ids that are remembered for a connection. */
const maxRequestIds = 32;
/** Largest number of bytes that arrive for a response besides its body: heads, line ends, sizes of chunks. Some may not be parsed yet. */
const maxFramingBytes = 262_144;
/** The same for each byte of the body, which may come in chunks of one byte. */
const maxFramingPerBodyByte = 16;
const headTerminator = Buffer.from('\r\n\r\n');
/** The end of a response in chunks, behind which another response begins. */
const chunkedEndBeforeHead = Buffer.from('\r\n0\r\n\r\nHTTP/1.');
const chunkedEndBytes = '\r\n0\r\n\r\n'.length;

/**
 * True when the connection, whose end was reported, has been reset. Node reports a reset that arrives behind unread bytes as a
 * normal end; the kernel then has no address of the other side any more. `remoteAddress` must not have been read before, as
 * it is cached.
 */
function hasBeenReset({remoteAddress}: Socket): boolean {
	return remoteAddress === undefined;
}

/** Keeps the ids of the last requests of a connection: a backend server may send another response to any of them. */
export class ConnectionRequests {
	#requestIds: readonly string[] = [];
	#isResponseEnded = false;
	#isReset = false;
	#excessBytes = 0;
	/** What has arrived since the last request: all bytes, those of the response head once it is complete, and the last part. */
	#receivedBytes = 0;
	#headBytes = 0;
	#lastPart: Uint8Array = new Uint8Array();
	/** Bytes of the body that the HTTP client has found in what arrived. */
	#bodyBytes = 0;
	/** The connection, and the bytes that had arrived on it before the last request. */
	#socket: Socket | undefined;
	#bytesBefore = 0;

	/** Records a request. Returns the ids of the earlier ones. */
	recordRequest(requestId: string): ReadonlySet<string> {
		const earlier = this.#requestIds;
		this.#requestIds = [...earlier, requestId].slice(-maxRequestIds);
		this.#isResponseEnded = false;
		this.#receivedBytes = 0;
		this.#headBytes = 0;
		this.#lastPart = new Uint8Array();
		this.#bodyBytes = 0;
		this.#bytesBefore = this.#socket?.bytesRead ?? 0;
		return new Set(earlier);
	}

	/** Records a part of the body that was found in what arrived. */
	recordBody(bytes: number): void {
		this.#bodyBytes += bytes;
	}

	/**
	 * Records that the response to the last request has ended, so that nothing more belongs to it. `bodyBytes` is the length of
	 * its body on the connection; undefined if it was sent in chunks.
	 */
	recordResponseEnd(bodyBytes: number | undefined): void {
		this.#isResponseEnded = true;
		const chunkedEnd = Buffer.from(this.#lastPart).indexOf(chunkedEndBeforeHead);
		this.#excessBytes += bodyBytes === undefined
			? (chunkedEnd === -1 ? 0 : this.#lastPart.length - chunkedEnd - chunkedEndBytes)
			: Math.max(0, this.#countReceivedBytes() - this.#headBytes - bodyBytes);
	}

	/** True when bytes have arrived behind the last response, or the connection has broken since. */
	isBrokenBehindResponse(): boolean {
		return this.#excessBytes > 0 || this.#isReset || (this.#socket?.errored ?? undefined) !== undefined;
	}

	/** Number of bytes that have arrived beyond responses. */
	countExcessBytes(): number {
		return this.#excessBytes;
	}

	/** True while the backend server may send more on the connection. */
	isOpen(): boolean {
		return this.#socket?.readable === true;
	}

	/** True when the backend server has reset the connection, even if the runtime reported a normal end. */
	isReset(): boolean {
		return this.#isReset;
	}

	/**
	 * Counts what arrives on a new connection beyond the responses; calls `handleExcess` once the connection has closed. The
	 * request that caused the connection to be opened is already recorded.
	 */
	registerSocket(socket: Socket, handleExcess: (excess: ExcessBytes) => void): void {
		this.#requestIds = this.#requestIds.slice(-1);
		this.#excessBytes = 0;
		this.#isReset = false;
		this.#socket = socket;
		this.#bytesBefore = 0;
		socket.once('end', () => {
			this.#isReset = hasBeenReset(socket);
		});
		socket.on('data', (part: Uint8Array) => {
			this.#recordPart(part);
			if (this.#isMostlyFraming(socket)) {
				socket.destroy(new Error(`more than ${maxFramingBytes} bytes that belong to no response body`));
			}
		});
		socket.once('close', () => {
			if (this.#excessBytes > 0) {
				handleExcess({requestId: this.#requestIds.at(-1) ?? '', bytes: this.#excessBytes});
			}
		});
	}

	/**
	 * True when far more has arrived than a head and a body, however small its chunks: such bytes may come without end. The
	 * socket counts them, as after a pause the HTTP client reads a part of them again.
	 */
	#isMostlyFraming(socket: Socket): boolean {
		const framingBytes = socket.bytesRead - this.#bytesBefore - this.#bodyBytes;
		return !this.#isResponseEnded && framingBytes > maxFramingBytes + (maxFramingPerBodyByte * this.#bodyBytes);
	}

	/** Bytes that have arrived since the last request, each counted once: after a pause the HTTP client reads a part again. */
	#countReceivedBytes(): number {
		return this.#socket ? this.#socket.bytesRead - this.#bytesBefore : this.#receivedBytes;
	}

	#recordPart(part: Uint8Array): void {
		if (this.#isResponseEnded) {
			this.#excessBytes += part.length;
			return;
		}

		if (this.#headBytes === 0) {
			const text = Buffer.concat([this.#lastPart.subarray(1 - headTerminator.length), part]);
			const end = text.indexOf(headTerminator);
			this.#headBytes = end === -1 ? 0 : this.#receivedBytes + end + headTerminator.length - (text.length - part.length);
		}

		this.#receivedBytes += part.length;
		this.#lastPart = part;
	}
}

/** A client for one connection at a time that keeps the ids of its requests. */
export class ConnectionClient extends Client {
	readonly #requests: ConnectionRequests;

	constructor(origin: string | URL, options: Client.Options, requests: ConnectionRequests) {
		super(origin, options);
		this.#requests = requests;
	}

	override dispatch(options: ConnectionDispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
		options.handleConnection?.(this.#requests);
		return super.dispatch(options, handler);
	}
}
