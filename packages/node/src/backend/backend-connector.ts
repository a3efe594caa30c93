/** Opens connections to a backend server on which a reset is always an error and response heads are checked. */
import {type Socket} from 'node:net';
import {buildConnector} from 'undici';
import {ResponseHeadReader} from './response-head-reader.js';

/** Error code that the HTTP client (undici) reports as a broken connection. */
const clientSocketErrorCode = 'UND_ERR_SOCKET';

/**
 * Destroys the connection when a response head is one that the HTTP client can't handle. The first data after each write to the
 * socket begins a head, as a write means that a request was sent.
 */
function registerHeadChecks(socket: Socket): void {
	const reader = new ResponseHeadReader();
	let writtenBytes = 0;
	socket.on('data', (part: Uint8Array) => {
		if (socket.bytesWritten !== writtenBytes) {
			writtenBytes = socket.bytesWritten;
			reader.startResponse();
		}

		const fault = reader.read(part);
		if (fault !== undefined) {
			socket.destroy(new Error(fault));
		}
	});
}

/**
 * Creates a connector for undici with a connect timeout in milliseconds. When a connection is reset during a response
 * without a length, undici treats `ECONNRESET` as the end of that response. The connector changes the error's code, so
 * that the truncated response fails instead of being taken for a complete one.
 *
 * `handleEnd` is called when the other side has closed a connection, before undici learns of it. No response may be paused
 * after it: undici throws an error outside of any request when a connection ends on which a response is paused.
 * `handleSocket` is called with each new connection.
 */
export function createBackendConnector(timeoutMs: number, handleEnd: () => void, handleSocket: (socket: Socket) => void): buildConnector.connector {
	const connect = buildConnector({timeout: timeoutMs});
	return (options, callback) => {
		connect(options, (...result) => {
			const [, socket] = result;
			if (socket) {
				registerHeadChecks(socket);
				handleSocket(socket);
				socket.on('end', handleEnd);
			}

			socket?.prependListener('error', (error: Error & {code?: string}) => {
				if (error.code === 'ECONNRESET') {
					error.code = clientSocketErrorCode;
				}
			});
			callback(...result);
		});
	};
}
