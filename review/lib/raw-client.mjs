/** A client that writes requests to one connection and reads the answers byte by byte, to see how each one ends. */
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';

export function formatRequest(id, requestPath, deadlineMs) {
	return `GET ${requestPath} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: ${id}\r\nDeadline-Ms: ${deadlineMs}\r\n\r\n`;
}

/** Decodes the chunks of a body; returns undefined while the last one is missing. */
function parseChunks(bytes, from) {
	const lineEnd = bytes.indexOf('\r\n', from, 'latin1');
	if (lineEnd === -1) {
		return undefined;
	}

	const size = Number.parseInt(bytes.toString('latin1', from, lineEnd), 16);
	const next = lineEnd + 2 + size + 2;
	if (next > bytes.length) {
		return undefined;
	}

	if (size === 0) {
		return {end: next, length: 0};
	}

	const rest = parseChunks(bytes, next);
	return rest && {end: rest.end, length: rest.length + size};
}

function parseAnswer(bytes, isEnded) {
	const headEnd = bytes.indexOf('\r\n\r\n', 0, 'latin1');
	if (headEnd === -1) {
		return undefined;
	}

	const head = bytes.toString('latin1', 0, headEnd).split('\r\n');
	const headers = new Map(head.slice(1).map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]));
	const from = headEnd + 4;
	const length = headers.get('content-length');
	const answer = {status: Number(head[0].split(' ')[1]), headers, received: bytes.length - from};
	if (length !== undefined) {
		const end = from + Number(length);
		return bytes.length >= end
			? {
				...answer, isComplete: true, bodyBytes: Number(length), end,
			}
			: {...answer, isComplete: false};
	}

	if (headers.get('transfer-encoding') === 'chunked') {
		const body = parseChunks(bytes, from);
		return body
			? {
				...answer, isComplete: true, bodyBytes: body.length, end: body.end,
			}
			: {...answer, isComplete: false};
	}

	// The end of the connection ends the answer.
	return {
		...answer, isUnframed: true, isComplete: isEnded, bodyBytes: bytes.length - from, end: bytes.length,
	};
}

function parseAnswers(bytes, isEnded) {
	const answer = parseAnswer(bytes, isEnded);
	if (!answer?.isComplete) {
		return {answers: [], partial: answer};
	}

	const rest = parseAnswers(bytes.subarray(answer.end), isEnded);
	return {answers: [answer, ...rest.answers], partial: rest.partial};
}

export class RawClient {
	/** How the connection has ended: `open`, `closed` in the normal way, or `reset`. */
	state = 'open';
	#chunks = [];
	#socket;

	/** `handleEnd` is called with the state when the connection has ended. */
	constructor(host, port, handleEnd = () => undefined) {
		this.#socket = connect({host, port});
		this.#socket.on('data', chunk => {
			this.#chunks.push(chunk);
		});
		this.#socket.on('end', () => {
			this.state = 'closed';
			handleEnd(this.state);
		});
		this.#socket.on('error', () => {
			this.state = 'reset';
			handleEnd(this.state);
		});
	}

	send(text) {
		this.#socket.write(text);
	}

	countBytes() {
		return this.#chunks.reduce((sum, {length}) => sum + length, 0);
	}

	/** Lists the complete answers, and the one that is incomplete. */
	readAnswers() {
		return parseAnswers(Buffer.concat(this.#chunks), this.state === 'closed');
	}

	close() {
		this.#socket.destroy();
	}
}
