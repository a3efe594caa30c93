/**
 * One connection of a caller. Requests may follow each other on it before the first is answered (pipelining); Node's `http`
 * sends the answers in the order of the requests.
 */
import {type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';

/** Requests of one connection that are in progress at a time; what comes behind them counts as not read. */
export const maxPipelinedRequests = 16;

/**
 * Decides which requests are read and which answer closes the connection. An answer that closes it is the last one: a
 * request that was handed on is never cut off by the answer before it.
 */
export class CallerConnection {
	readonly #socket: Socket;
	/** Answers that are still to be given, in the order of their requests. */
	#pendingResponses: readonly ServerResponse[] = [];
	/** True once the last pending answer closes the connection, whatever comes behind it. */
	#isClosing = false;

	constructor(socket: Socket) {
		this.#socket = socket;
		socket.once('close', () => {
			this.#closePendingResponses();
		});
	}

	/** Takes a request, or leaves it unread when an answer before it closes the connection or too many are in progress. */
	acceptRequest(response: ServerResponse): boolean {
		if (this.#isClosing || this.#pendingResponses.length >= maxPipelinedRequests) {
			this.closeAfterLastResponse();
			return false;
		}

		this.#pendingResponses = [...this.#pendingResponses, response];
		this.#isClosing = !response.shouldKeepAlive;
		response.once('close', () => {
			this.#pendingResponses = this.#pendingResponses.filter(other => other !== response);
		});
		return true;
	}

	/** Settles whether an answer closes the connection; called before its head is written. */
	updateKeepAlive(response: ServerResponse, isStopping: boolean): void {
		const isLast = this.#pendingResponses.at(-1) === response;
		response.shouldKeepAlive &&= !(isLast && (isStopping || this.#isClosing));
		this.#isClosing ||= !response.shouldKeepAlive;
	}

	/** Ends the connection with the last answer that is still to be given; nothing more is read from it. */
	closeAfterLastResponse(): void {
		const last = this.#pendingResponses.at(-1);
		if (last?.headersSent === true && !this.#isClosing) {
			last.once('finish', () => {
				this.#socket.destroySoon();
			});
		}

		this.#isClosing = true;
		this.#socket.pause();
	}

	/** Node's `http` tells only the response whose turn it is that the connection has closed. */
	#closePendingResponses(): void {
		this.#pendingResponses.filter(({closed}) => !closed).forEach(response => {
			response.emit('close');
		});
	}
}
