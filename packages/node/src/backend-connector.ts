/** Connects to a backend server so that a reset is never taken for the end of an answer, and no head goes on without end. */
import {Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import {buildConnector} from 'undici';

/** Code of a reset as the HTTP client sees it. */
const resetCode = 'UND_ERR_SOCKET';
/** Largest head of an answer, in bytes. The HTTP client bounds headers, but not a status line. */
const maxHeadBytes = 65_536;
const headEnd = Buffer.from('\r\n\r\n');

/** Ends a connection whose answer has no end of its head within the bound. */
function registerHeadBound(socket: Socket): void {
	let writtenBytes = 0;
	let headBytes = 0;
	let tail: Uint8Array = Buffer.alloc(0);
	let isHead = true;
	socket.on('data', (chunk: Uint8Array) => {
		if (socket.bytesWritten !== writtenBytes) {
			writtenBytes = socket.bytesWritten;
			headBytes = 0;
			tail = Buffer.alloc(0);
			isHead = true;
		}

		if (!isHead) {
			return;
		}

		headBytes += chunk.length;
		isHead = !Buffer.concat([tail, chunk]).includes(headEnd);
		tail = chunk.subarray(-headEnd.length + 1);
		if (isHead && headBytes > maxHeadBytes) {
			socket.destroy(new Error(`no end of the answer's head in ${maxHeadBytes} bytes`));
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
				registerHeadBound(socket);
			}

			socket?.prependListener('error', (error: Error & {code?: string}) => {
				if (error.code === 'ECONNRESET') {
					error.code = resetCode;
				}
			});
			callback(...result);
		});
	};
}
