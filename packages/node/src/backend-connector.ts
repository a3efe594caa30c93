/** Connects to a backend server so that a reset is never taken for the end of an answer. */
import {type Socket} from 'node:net';
import {buildConnector} from 'undici';

/** Code of a reset as the HTTP client sees it. */
const resetCode = 'UND_ERR_SOCKET';

/**
 * The HTTP client takes a connection that is reset under an answer without a length for the end of that answer. Under
 * another code the reset is an error, as it must be for whoever reads the answer.
 */
export function createBackendConnector(timeoutMs: number): buildConnector.connector {
	const connect = buildConnector({timeout: timeoutMs});
	return (options, callback) => {
		connect(options, (...result) => {
			const [, socket] = result;
			(socket)?.prependListener('error', (error: Error & {code?: string}) => {
				if (error.code === 'ECONNRESET') {
					error.code = resetCode;
				}
			});
			callback(...result);
		});
	};
}
