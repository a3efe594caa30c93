/** Reads the heads of responses beside the HTTP client, to stop what the client can't handle before it parses it. */
import {Buffer} from 'node:buffer';

/** Largest response head, in bytes. The HTTP client limits the headers, but not the status line. */
const maxResponseHeadBytes = 65_536;
const headTerminator = Buffer.from('\r\n\r\n');
/** Length of a status line up to the character behind the status. */
const statusLineBytes = 'HTTP/1.1 200 '.length;
const statusLinePattern = /^HTTP\/\d\.\d (?<status>\d{3})(?!\d)/v;
const minStatus = 100;
const maxStatus = 599;
/** Statuses from here on belong to the final response; those below announce another one. */
const minFinalStatus = 200;
/** The status of a connection that changes its protocol, which no request asks for. */
const switchingProtocolsStatus = 101;

/**
 * Finds what is wrong with the status line that a head begins with; undefined if nothing is, or if the HTTP client refuses it by
 * itself. HTTP has no other statuses (RFC 9110, section 15), and on some of them the client fails an assertion.
 */
function findStatusFault(head: string): string | undefined {
	const text = statusLinePattern.exec(head)?.groups?.status;
	if (text === undefined) {
		return undefined;
	}

	const status = Number(text);
	return status < minStatus || status > maxStatus || status === switchingProtocolsStatus ? `${text} is no status of a response` : undefined;
}

/** Reads what arrives on one connection, head by head; bodies are skipped. */
export class ResponseHeadReader {
	#isReading = true;
	#headBytes = 0;
	/** The beginning of the head, up to the status, and its last bytes. */
	#beginning = '';
	#lastBytes: Uint8Array = Buffer.alloc(0);

	/** Starts again with the head of the response to a new request. */
	startResponse(): void {
		this.#isReading = true;
		this.#headBytes = 0;
		this.#beginning = '';
		this.#lastBytes = Buffer.alloc(0);
	}

	/** Reads the next part. Returns what is wrong with the head; undefined if nothing is known to be. */
	read(part: Uint8Array): string | undefined {
		if (!this.#isReading) {
			return undefined;
		}

		this.#beginning += Buffer.from(part.subarray(0, statusLineBytes - this.#beginning.length)).toString('latin1');
		const fault = this.#beginning.length === statusLineBytes ? findStatusFault(this.#beginning) : undefined;
		if (fault !== undefined) {
			return fault;
		}

		const text = Buffer.concat([this.#lastBytes, part]);
		const end = text.indexOf(headTerminator);
		if (end === -1) {
			this.#headBytes += part.length;
			this.#lastBytes = part.length >= headTerminator.length - 1 ? Buffer.from(part.subarray(1 - headTerminator.length)) : text.subarray(1 - headTerminator.length);
			return this.#headBytes > maxResponseHeadBytes ? `response head exceeds ${maxResponseHeadBytes} bytes` : undefined;
		}

		const status = Number(statusLinePattern.exec(this.#beginning)?.groups?.status ?? minFinalStatus);
		const rest = part.subarray(end + headTerminator.length - this.#lastBytes.length);
		this.startResponse();
		this.#isReading = status < minFinalStatus;
		return this.read(rest);
	}
}
