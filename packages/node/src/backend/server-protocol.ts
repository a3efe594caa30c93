/** Headers that a request carries to a backend server, and the checks on its responses, for one kind of platform. */
import {
	createFailure, findHeader, selectHeaders, timeoutHeader, type Failure, type RawHeaders, type RequestHead, type ResponseHead,
} from '@limpetbarrow/core';
import {selectRequestHeaders} from '../callers/headers.js';

/** What a response says of the rate that its backend server takes, in requests a second; undefined for no limit. */
export type NamedLimit = {
	readonly perSecond: number | undefined;
};

/** Creates the headers of a request and validates the head of its response. */
export abstract class ServerProtocol {
	/** Creates the headers that are sent to the backend server; `remainingMs` is the time left until the deadline. */
	abstract createRequestHeaders(head: RequestHead, remainingMs: number, serverId: string): RawHeaders;
	/** Returns the failure when the response is not the backend server's response to this request, else undefined. */
	abstract validateResponse(head: RequestHead, response: ResponseHead): Failure | undefined;
	/** Returns the id of the request that a response names; undefined if it names none. */
	abstract findRequestId(response: ResponseHead): string | undefined;
	/** Returns the limit that a response names; undefined if it can't be read or the backend servers name none. */
	abstract findLimit(response: Pick<ResponseHead, 'headers'>): NamedLimit | undefined;
	/** True when a response says that its backend server leaves. */
	abstract isLeaving(response: Pick<ResponseHead, 'headers'>): boolean;
}

/** Sends the project's own timeout header and accepts every response. */
export class PlainServerProtocol extends ServerProtocol {
	override createRequestHeaders({headers}: RequestHead, remainingMs: number): RawHeaders {
		return [...selectRequestHeaders(headers), timeoutHeader, String(remainingMs)];
	}

	override validateResponse(): undefined {
		return undefined;
	}

	override findRequestId(): undefined {
		return undefined;
	}

	override findLimit(): undefined {
		return undefined;
	}

	override isLeaving(): boolean {
		return false;
	}
}

/** Names of the headers that tie a response to its request and to the backend server. */
export type ServerHeaderNames = {
	/** Id of the request; the response repeats it. */
	readonly requestId: string;
	/** Time in milliseconds after which the backend server stops working on the request. */
	readonly deadline: string;
	/** Service of the host on which the request originated. */
	readonly callerService: string;
	/** Organisation of the caller, if it has proved one. */
	readonly organisation: string;
	/** Id of the intended backend server; any other refuses the request. */
	readonly expectedServer: string;
	/** Present on every response that a backend server created itself. */
	readonly signature: string;
	/** Present when the backend server did not run the request. */
	readonly notRun: string;
	/** Rate of requests that the backend server takes from all nodes together, in requests a second. */
	readonly limit: string;
	/** Present, with the value 1, when the backend server leaves. */
	readonly leaving: string;
};

const misdirectedRequestStatus = 421;
const decimalPattern = /^\d{1,9}(?:\.\d{1,9})?$/v;
const minRedirectStatus = 300;

/**
 * Names the intended backend server in each request, and accepts only responses that carry the request's id. A response with
 * a status below 300 must also be signed and have no content-encoding.
 */
export class VerifyingServerProtocol extends ServerProtocol {
	readonly #headerNames: ServerHeaderNames;
	readonly #protocolHeaderNames: ReadonlySet<string>;
	readonly #organisationHeaderName: string;

	constructor(names: ServerHeaderNames) {
		super();
		this.#headerNames = names;
		this.#protocolHeaderNames = new Set([names.requestId, names.deadline, names.callerService, names.expectedServer].map(name => name.toLowerCase()));
		this.#organisationHeaderName = names.organisation.toLowerCase();
	}

	override createRequestHeaders({headers, requestId, organisation, callerService = ''}: RequestHead, remainingMs: number, serverId: string): RawHeaders {
		const names = this.#headerNames;
		return [
			...selectHeaders(selectRequestHeaders(headers), name => !this.#protocolHeaderNames.has(name) && (organisation === '' || name !== this.#organisationHeaderName)),
			names.requestId,
			requestId,
			names.deadline,
			String(remainingMs),
			names.expectedServer,
			serverId,
			names.callerService,
			callerService,
			...(organisation === '' ? [] : [names.organisation, organisation]),
		];
	}

	override validateResponse({requestId}: RequestHead, {status, headers}: ResponseHead): Failure | undefined {
		const names = this.#headerNames;
		const responseRequestId = findHeader(headers, names.requestId);
		const isRejection = status === misdirectedRequestStatus || findHeader(headers, names.notRun) !== undefined;
		// A rejection may lack the id. With another request's id it says nothing about this request.
		if (responseRequestId !== requestId && !(isRejection && responseRequestId === undefined)) {
			return createFailure('serverBroke', `the response belongs to another request, id ${responseRequestId ?? 'missing'}`);
		}

		if (isRejection) {
			return status === misdirectedRequestStatus
				? createFailure('serverReplaced', 'another backend server responded at this address')
				: createFailure('serverShed', `the backend server rejected the request with status ${status}`);
		}

		const isUnverified = findHeader(headers, names.signature) === undefined || findHeader(headers, 'content-encoding') !== undefined;
		return isUnverified && status < minRedirectStatus
			? createFailure('serverBroke', 'the response is not signed or has a content-encoding')
			: undefined;
	}

	override findRequestId({headers}: ResponseHead): string | undefined {
		return findHeader(headers, this.#headerNames.requestId);
	}

	override findLimit({headers}: Pick<ResponseHead, 'headers'>): NamedLimit | undefined {
		const text = findHeader(headers, this.#headerNames.limit);
		if (text === undefined) {
			return {perSecond: undefined};
		}

		return decimalPattern.test(text) ? {perSecond: Number(text)} : undefined;
	}

	override isLeaving({headers}: Pick<ResponseHead, 'headers'>): boolean {
		return findHeader(headers, this.#headerNames.leaving) === '1';
	}
}
