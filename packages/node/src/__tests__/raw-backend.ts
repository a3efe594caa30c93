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
	connectionCount = 0;
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();

	constructor(responder: RawResponder) {
		this.#server = createServer(socket => {
			this.connectionCount++;
			this.#sockets.add(socket);
			socket.on('error', () => {
				socket.destroy();
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

	async listen(): Promise<Address> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		return {host: '127.0.0.1', port: (this.#server.address() as AddressInfo).port};
	}

	close(): void {
		this.#sockets.forEach(socket => {
			socket.destroy();
		});
		this.#server.close();
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
	requestId: 'x-id', deadline: 'x-deadline', callerService: 'x-caller', expectedServer: 'x-expected', signature: 'x-signature', notRun: 'x-not-run', limit: 'x-limit', leaving: 'x-leaving',
} as const;
