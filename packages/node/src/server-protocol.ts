/** What a request and an answer look like to backend servers of one kind of platform. */
import {
	createFailure, findHeader, selectHeaders, timeoutHeader, type Failure, type RawHeaders, type RequestHead, type ResponseHead,
} from '@limpetbarrow/core';
import {selectRequestHeaders} from './headers.js';

/** Writes the head of a request and judges the head of an answer. */
export abstract class ServerProtocol {
	/** The headers that a backend server gets. */
	abstract createRequestHeaders(head: RequestHead, remainingMs: number, serverId: string): RawHeaders;
	/** Why the answer is not this request's answer by this backend server; undefined when it is. */
	abstract validateResponse(head: RequestHead, response: ResponseHead): Failure | undefined;
}

/** The project's own headers; every answer counts. */
export class PlainServerProtocol extends ServerProtocol {
	override createRequestHeaders({headers}: RequestHead, remainingMs: number): RawHeaders {
		return [...selectRequestHeaders(headers), timeoutHeader, String(remainingMs)];
	}

	override validateResponse(): undefined {
		return undefined;
	}
}

/** Names of the headers by which backend servers prove their answers. */
export type ServerHeaderNames = {
	readonly requestId: string;
	/** Milliseconds after which the backend server stops its work. */
	readonly deadline: string;
	/** Service of the host on which the request began. */
	readonly callerService: string;
	/** Id of the backend server that is meant; any other refuses the request. */
	readonly expectedServer: string;
	/** Present on every answer that a backend server made. */
	readonly signature: string;
	/** Present when the backend server did not run the request. */
	readonly notRun: string;
};

const misdirectedRequestStatus = 421;
const minRedirectStatus = 300;

/** Names the backend server that is meant, and takes only answers that prove that they belong to the request. */
export class VerifyingServerProtocol extends ServerProtocol {
	readonly #headerNames: ServerHeaderNames;
	readonly #protocolHeaderNames: ReadonlySet<string>;

	constructor(names: ServerHeaderNames) {
		super();
		this.#headerNames = names;
		this.#protocolHeaderNames = new Set([names.requestId, names.deadline, names.callerService, names.expectedServer].map(name => name.toLowerCase()));
	}

	override createRequestHeaders({headers, requestId, callerService = ''}: RequestHead, remainingMs: number, serverId: string): RawHeaders {
		const names = this.#headerNames;
		return [
			...selectHeaders(selectRequestHeaders(headers), name => !this.#protocolHeaderNames.has(name)),
			names.requestId,
			requestId,
			names.deadline,
			String(remainingMs),
			names.expectedServer,
			serverId,
			names.callerService,
			callerService,
		];
	}

	override validateResponse({requestId}: RequestHead, {status, headers}: ResponseHead): Failure | undefined {
		const names = this.#headerNames;
		const responseRequestId = findHeader(headers, names.requestId);
		const isRejection = status === misdirectedRequestStatus || findHeader(headers, names.notRun) !== undefined;
		// Rejections need not bear an id; one that bears another request's says nothing about this one.
		if (responseRequestId !== requestId && !(isRejection && responseRequestId === undefined)) {
			return createFailure('serverBroke', `the answer belongs to request ${responseRequestId ?? 'without an id'}`);
		}

		if (isRejection) {
			return status === misdirectedRequestStatus
				? createFailure('serverReplaced', 'another backend server answered')
				: createFailure('serverShed', `status ${status}`);
		}

		const isUnverified = findHeader(headers, names.signature) === undefined || findHeader(headers, 'content-encoding') !== undefined;
		return isUnverified && status < minRedirectStatus
			? createFailure('serverBroke', 'the answer is not signed or not the plain body')
			: undefined;
	}
}
