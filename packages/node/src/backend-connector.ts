/** Connects to a backend server so that a reset is never taken for the end of an answer, and no head goes on without end. */
import {Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import {buildConnector} from 'undici';

/** Code of a reset as the HTTP client sees it. */
const clientSocketErrorCode = 'UND_ERR_SOCKET';
/** Largest head of an answer, in bytes. The HTTP client bounds headers, but not a status line. */
const maxResponseHeadBytes = 65_536;
const headTerminator = Buffer.from('\r\n\r\n');

/** Ends a connection whose answer has no end of its head within the bound. */
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
			socket.destroy(new Error(`no end of the answer's head in ${maxResponseHeadBytes} bytes`));
		}
	});
}

/**
 * The HTTP client takes a connection that is reset under an answer without a length for the end of that answer. Under
 * another code the reset is an error, as it must be for whoever reads the answer.
 */
export function createBackendConnector(timeoutMs: number): buildConnector.connector {
	const connect = buildConnector({timeout: timeoutMs});
	return (options, callback) => {
		connect(options, (...result) => {
			const [, socket] = result;
			if (socket) {
				registerHeadLimit(socket);
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
