/**
 * One connection of a caller. Requests may be pipelined: sent before earlier ones are answered. Node's `http` sends the
 * responses in the order of the requests.
 */
import {type ServerResponse} from 'node:http';
import {type Failure} from '@limpetbarrow/core';
import {estimateRequestBytes, type ConnectionMemory} from './caller-memory.js';
import {type PacedConnection} from './paced-connection.js';

/** Maximum number of requests in progress on one connection; requests behind them are left unread. */
export const maxPipelinedRequests = 16;

/** How a connection learns of its node, and tells of itself. */
export type CallerConnectionOptions = {
	/** True once a planned stop of the node has begun. */
	readonly isStopping: () => boolean;
	/** Called when a request begins or ends. */
	readonly recordActivity: () => void;
};

/**
 * Decides which requests are read, when they may be forwarded and which response closes the connection. The response that
 * closes it is always the last one, and nothing is forwarded behind a response that may still have to be reset, so a request
 * that was forwarded doesn't lose its response to the one before it.
 */
export class CallerConnection {
	readonly #socket: PacedConnection;
	readonly #memory: ConnectionMemory;
	readonly #isStopping: () => boolean;
	readonly #recordActivity: () => void;
	/** Responses still to be sent, in the order of their requests. */
	#pendingResponses: readonly ServerResponse[] = [];
	/** Callbacks of the pending responses that wait for those before them. */
	readonly #turnHandlers = new Map<ServerResponse, () => void>();
	/** Callbacks of the requests that are not forwarded yet, in their order. */
	readonly #forwardHandlers = new Map<ServerResponse, () => void>();
	/** True once the last pending response is to close the connection; later requests are left unread. */
	#isClosing = false;
	/** The response that has no length, if there is one. */
	#responseEndedByClose: ServerResponse | undefined;
	#readFailure: Failure | undefined;

	constructor(socket: PacedConnection, memory: ConnectionMemory, {isStopping, recordActivity}: CallerConnectionOptions) {
		this.#socket = socket;
		this.#memory = memory;
		this.#isStopping = isStopping;
		this.#recordActivity = recordActivity;
		socket.once('close', () => {
			memory.close();
			this.#closePendingResponses();
		});
	}

	/** The account of what is held for the connection. */
	get memory(): ConnectionMemory {
		return this.#memory;
	}

	/** True while bytes of the connection may be parsed: the rest of a body, or another request if there is room for one. */
	isFeedable(): boolean {
		const last = this.#pendingResponses.at(-1);
		if (last?.req.complete === false) {
			return true;
		}

		return !this.#isClosing && (last === undefined || this.#memory.hasRequestRoom());
	}

	/**
	 * Accepts a request. Returns false, leaving it unread, if an earlier response closes the connection or too many are in
	 * progress. A stopping node reads no request behind one in progress, whose response could come too late for it to follow.
	 */
	acceptRequest(response: ServerResponse): boolean {
		const maxPending = this.#isStopping() ? 1 : maxPipelinedRequests;
		if (this.#isClosing || this.#pendingResponses.length >= maxPending) {
			this.closeAfterLastResponse();
			return false;
		}

		this.#pendingResponses = [...this.#pendingResponses, response];
		this.#isClosing = !response.shouldKeepAlive;
		const bytes = estimateRequestBytes(response.req.rawHeaders, response.req.url ?? '');
		this.#memory.addRequestBytes(bytes);
		this.#recordActivity();
		response.once('close', () => {
			this.#recordActivity();
			this.#memory.addRequestBytes(-bytes);
			this.#pendingResponses = this.#pendingResponses.filter(other => other !== response);
			this.#forwardHandlers.delete(response);
			this.#startTurn();
			this.#forwardRequests();
			this.#socket.resumeFeeding();
		});
		return true;
	}

	/** Calls back once all responses before this one are complete, at once if they are; never after the connection has closed. */
	waitForTurn(response: ServerResponse, handleTurn: () => void): void {
		this.#turnHandlers.set(response, handleTurn);
		this.#startTurn();
	}

	/**
	 * Calls back when the request can be forwarded: at once, unless an earlier response is being streamed. If that one failed,
	 * only a reset could end it, and the request would have run without a response. Never calls back after the connection has
	 * closed.
	 */
	waitToForward(response: ServerResponse, handleForward: () => void): void {
		this.#forwardHandlers.set(response, handleForward);
		this.#forwardRequests();
	}

	/** Records that nothing more can be parsed, so that the body of the last request can't be completed. */
	recordReadFailure(failure: Failure): void {
		this.#readFailure = failure;
		this.#socket.stopParsing();
	}

	getReadFailure(): Failure | undefined {
		return this.#readFailure;
	}

	hasPendingResponses(): boolean {
		return this.#pendingResponses.length > 0;
	}

	/** True once a planned stop of the node has begun. */
	isStopping(): boolean {
		return this.#isStopping();
	}

	/** True when a request after that of the response has been accepted. */
	hasRequestsBehind(response: ServerResponse): boolean {
		return this.#pendingResponses.at(-1) !== response;
	}

	/** Decides whether a response closes the connection. Must be called before its head is written. */
	updateKeepAlive(response: ServerResponse): void {
		response.shouldKeepAlive &&= this.hasRequestsBehind(response) || !(this.#isStopping() || this.#isClosing);
		this.#isClosing ||= !response.shouldKeepAlive;
	}

	/** Lets the end of the connection end a response: later requests are left unread. */
	endWithConnection(response: ServerResponse): void {
		this.#isClosing = true;
		this.#responseEndedByClose = response;
	}

	/** Closes the connection at once. Only a reset shows the caller that a response which ends with its connection is truncated. */
	closeAtOnce(): void {
		const response = this.#responseEndedByClose;
		if (response?.headersSent === true && !response.writableFinished) {
			this.#socket.resetAndDestroy();
		} else {
			this.#socket.destroy();
		}
	}

	/** Closes the connection unless responses are pending; a request that arrives meanwhile is left unread. */
	closeIfIdle(): void {
		if (!this.hasPendingResponses()) {
			this.#isClosing = true;
			this.#socket.destroySoon();
		}
	}

	/** Sends a response for which there is no request, and closes the connection. */
	closeWith(response: string): void {
		this.#isClosing = true;
		if (this.#socket.writable) {
			this.#socket.end(response);
		}

		this.#socket.destroySoon();
	}

	/** True while the caller may still be reading the last response of a connection that is being closed. */
	isDelivering(): boolean {
		return this.#socket.isDelivering();
	}

	/** Closes the connection after the last pending response; later requests are left unread. */
	closeAfterLastResponse(): void {
		const last = this.#pendingResponses.at(-1);
		if (last?.headersSent === true && !this.#isClosing) {
			last.once('finish', () => {
				this.#socket.destroySoon();
			});
		}

		this.#isClosing = true;
	}

	#forwardRequests(): void {
		const isStreaming = this.#pendingResponses.some(({headersSent, writableEnded}) => headersSent && !writableEnded);
		if (isStreaming || this.#socket.destroyed) {
			return;
		}

		const handlers = [...this.#forwardHandlers.values()];
		this.#forwardHandlers.clear();
		handlers.forEach(handleForward => {
			handleForward();
		});
	}

	#startTurn(): void {
		const [first] = this.#pendingResponses;
		const handleTurn = first && !this.#socket.destroyed ? this.#turnHandlers.get(first) : undefined;
		if (first && handleTurn) {
			this.#turnHandlers.delete(first);
			handleTurn();
		}
	}

	/** Emits `close` on all pending responses: Node's `http` emits it only on the one being sent when the connection closes. */
	#closePendingResponses(): void {
		this.#pendingResponses.filter(({closed}) => !closed).forEach(response => {
			response.emit('close');
		});
	}
}
