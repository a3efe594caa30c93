/** A backend server that responds with raw bytes, for responses that no HTTP library would write. */
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {type Address} from '@limpetbarrow/core';

/** Writes the response to one request; `text` is the request as received. */
export type RawResponder = (socket: Socket, text: string) => void;

/** Calls the responder for each request; requests with a body are not supported. */
export class RawBackend {
	requests: readonly string[] = [];
	/** Number of connections on which something was sent; an egress also opens some on which it sends nothing. */
	connectionCount = 0;
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();

	constructor(responder: RawResponder) {
		this.#server = createServer(socket => {
			this.#sockets.add(socket);
			socket.on('error', () => {
				socket.destroy();
			});
			socket.once('data', () => {
				this.connectionCount++;
			});
			let receivedText = '';
			socket.on('data', chunk => {
				receivedText += chunk.toString('latin1');
				while (receivedText.includes('\r\n\r\n')) {
					const end = receivedText.indexOf('\r\n\r\n') + 4;
					const text = receivedText.slice(0, end);
					receivedText = receivedText.slice(end);
					this.requests = [...this.requests, text];
					responder(socket, text);
				}
			});
		});
	}

	async listen(port = 0): Promise<Address> {
		await new Promise<void>(resolve => {
			this.#server.listen(port, '127.0.0.1', resolve);
		});
		return {host: '127.0.0.1', port: this.getPort()};
	}

	getPort(): number {
		return (this.#server.address() as AddressInfo).port;
	}

	close(): void {
		this.closeConnections();
		this.#server.close();
	}

	/** Closes the connections in the normal way, as the kernel does for a process that has crashed. */
	closeConnections(): void {
		this.#sockets.forEach(socket => {
			socket.destroy();
		});
	}

	closeConnectionsByReset(): void {
		this.#sockets.forEach(socket => {
			socket.resetAndDestroy();
		});
	}

	/** Closes the connections like a crash, and the listener so many milliseconds later. */
	crash(listenerDelayMs: number): void {
		this.closeConnections();
		setTimeout(() => {
			this.close();
		}, listenerDelayMs);
	}
}

/** Returns the value of a header of a raw request, or '' if it is missing. */
export function findRawHeader(text: string, name: string): string {
	return new RegExp(`^${name}: (?<value>.*)$`, 'imv').exec(text)?.groups?.value?.trim() ?? '';
}

/** Formats a complete response to the request `text`, with the header names of `testServerHeaders`. */
export function formatRawResponse(text: string, options: {readonly status?: number; readonly headers?: readonly string[]; readonly body?: string; readonly id?: string} = {}): string {
	const {status = 200, headers = [], body = 'whole', id = findRawHeader(text, 'x-id')} = options;
	return [`HTTP/1.1 ${status} Answer`, `x-id: ${id}`, 'x-signature: s', `content-length: ${body.length}`, ...headers, '', body].join('\r\n');
}

/** Header names that the tests' backend servers use. */
export const testServerHeaders = {
	requestId: 'x-id', deadline: 'x-deadline', callerService: 'x-caller', expectedServer: 'x-expected', signature: 'x-signature', notRun: 'x-not-run', limit: 'x-limit', leaving: 'x-leaving', organisation: 'x-organisation',
} as const;
