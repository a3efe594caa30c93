/** A backend server that answers with raw bytes, for answers that no HTTP library would write. */
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {type Address} from '@limpetbarrow/core';

/** Writes what follows one request; `text` is the request as it came. */
export type RawResponder = (socket: Socket, text: string) => void;

/** Listens and runs its script for each request without a body. */
export class RawBackend {
	requests: readonly string[] = [];
	connectionCount = 0;
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();

	constructor(script: RawResponder) {
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
					script(socket, text);
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

/** Value of a header of a raw request. */
export function findRawHeader(text: string, name: string): string {
	return new RegExp(`^${name}: (?<value>.*)$`, 'imv').exec(text)?.groups?.value?.trim() ?? '';
}

/** A whole answer; names of headers are those of `testServerHeaders`. */
export function formatRawResponse(text: string, options: {readonly status?: number; readonly headers?: readonly string[]; readonly body?: string; readonly id?: string} = {}): string {
	const {status = 200, headers = [], body = 'whole', id = findRawHeader(text, 'x-id')} = options;
	return [`HTTP/1.1 ${status} Answer`, `x-id: ${id}`, 'x-signature: s', `content-length: ${body.length}`, ...headers, '', body].join('\r\n');
}

/** Header names of the tests' backend servers. */
export const testServerHeaders = {
	requestId: 'x-id', deadline: 'x-deadline', callerService: 'x-caller', expectedServer: 'x-expected', signature: 'x-signature', notRun: 'x-not-run',
} as const;
