/** Opens connections to a backend server on which a reset is always an error and the size of a response head is limited. */
import {Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import {buildConnector} from 'undici';

/** Error code that the HTTP client (undici) reports as a broken connection. */
const clientSocketErrorCode = 'UND_ERR_SOCKET';
/** Largest response head, in bytes. The HTTP client limits the headers, but not the status line. */
const maxResponseHeadBytes = 65_536;
const headTerminator = Buffer.from('\r\n\r\n');

/**
 * Destroys the connection when a response head exceeds `maxResponseHeadBytes`. The count starts again with the first data
 * after each write to the socket, as a write means that a request was sent.
 */
function registerHeadLimit(socket: Socket): void {
	let writtenBytes = 0;
	let headBytes = 0;
	let lastBytes: Uint8Array = Buffer.alloc(0);
	let isReadingHead = true;
	socket.on('data', (chunk: Uint8Array) => {
		if (socket.bytesWritten !== writtenBytes) {
			writtenBytes = socket.bytesWritten;
			headBytes = 0;
			lastBytes = Buffer.alloc(0);
			isReadingHead = true;
		}

		if (!isReadingHead) {
			return;
		}

		headBytes += chunk.length;
		isReadingHead = !Buffer.concat([lastBytes, chunk]).includes(headTerminator);
		lastBytes = chunk.subarray(-headTerminator.length + 1);
		if (isReadingHead && headBytes > maxResponseHeadBytes) {
			socket.destroy(new Error(`response head exceeds ${maxResponseHeadBytes} bytes`));
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
				registerHeadLimit(socket);
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
