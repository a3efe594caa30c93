/** Finds the beginning of another response within the body of a response. */
import {Buffer} from 'node:buffer';
import {createHash, type Hash} from 'node:crypto';
import {findHeader, type RawHeaders, type ResponseHead} from '@limpetbarrow/core';

/** What the scan needs to know of the response whose body it reads. */
export type ExtraResponseScanOptions = {
	/** The response's own head, with all headers that the backend server sent. */
	readonly head: ResponseHead;
	/** Id of the request that the response belongs to. */
	readonly requestId: string;
	/** Ids of earlier requests on the same connection. */
	readonly earlierRequestIds: ReadonlySet<string>;
	/** True when the end of the connection ends the response. */
	readonly isUnframed: boolean;
	/** Returns the request id that a response head carries; undefined if it carries none. */
	readonly findRequestId: (head: ResponseHead) => string | undefined;
};

/**
 * What is known of the body: `open` until something beyond it has been found; `whole` when a second response shows that the
 * first one is complete; `unknown` when nothing does.
 */
export type BodyVerdict = 'open' | 'whole' | 'unknown';

/** Whose response a head within the body begins; `unclear` when the head ends before it says so. */
type HeadOwner = 'own' | 'earlier' | 'other' | 'unclear';

/** A status line and headers as far as they have arrived. */
type FoundHead = ResponseHead & {
	/** Bytes up to the empty line, with it; undefined if it hasn't arrived. */
	readonly bytes: number | undefined;
};

/** Position at which a body ends for certain, and what was found of a head there. */
type BodyEnd = {
	readonly end: number;
	readonly head: FoundHead | undefined;
};

/** The second response to the same request, whose body is compared with the first one. */
type Copy = {
	readonly hash: Hash;
	bytes: number;
};

const headStart = 'HTTP/1.';
const headStartPattern = /HTTP\/1\./gv;
/** Shortest end of a body that is taken for the beginning of a head. */
const minCutHeadBytes = 'HTTP/'.length;
/** Longest head that is looked for, in bytes; what is longer belongs to the body. */
const maxFoundHeadBytes = 4096;
const lineEnd = '\r\n';
const headTerminator = '\r\n\r\n';
/** The part of a head that is certain: the status line and whole header lines. */
const headPattern = /^HTTP\/1\.[01] (?<status>\d{3})(?: [^\r\n]*)?\r\n(?<lines>(?:[\-!#$%\u0026'*+.^_`\|~\w]+:[^\r\n\0]*\r\n)*)/v;
/** What may stand at the end of a cut head, behind the certain part. */
const cutStatusLinePattern = /^HTTP\/(?:1(?:\.(?:[01](?: (?:\d{0,2}|\d{3}(?: [^\r\n]*)?))?)?)?)?\r?$/v;
const cutHeaderPattern = /^(?:[\-!#$%\u0026'*+.^_`\|~\w]+(?::[^\r\n\0]*)?)?\r?$/v;
/** The only header that differs between two copies of a response that is sent twice. */
const changingHeader = 'date';

function parseHeaderLine(line: string): readonly [string, string] {
	const colon = line.indexOf(':');
	return [line.slice(0, colon), line.slice(colon + 1).trim()];
}

/** Parses the response head that begins at a position of the text, or the beginning of one; undefined for anything else. */
function parseFoundHead(text: string, at: number): FoundHead | undefined {
	const part = text.slice(at, at + maxFoundHeadBytes);
	if (part.length === maxFoundHeadBytes && !part.includes(headTerminator)) {
		return undefined;
	}

	const match = headPattern.exec(part);
	const groups = match?.groups;
	const rest = part.slice(match?.[0].length ?? 0);
	const isComplete = groups !== undefined && rest.startsWith(lineEnd);
	if (!isComplete && !(groups ? cutHeaderPattern : cutStatusLinePattern).test(rest)) {
		return undefined;
	}

	return {
		status: Number(groups?.status ?? 0),
		headers: (groups?.lines ?? '').split(lineEnd).filter(line => line !== '').flatMap(line => parseHeaderLine(line)),
		bytes: isComplete ? part.length - rest.length + lineEnd.length : undefined,
	};
}

/** Formats the headers for a comparison. */
function formatHeaders(headers: RawHeaders): string {
	return headers.filter((_, index) => index % 2 === 0)
		.map((name, index) => `${name.toLowerCase()}:${headers[(2 * index) + 1]!}`)
		.filter(line => !line.startsWith(`${changingHeader}:`))
		.join('\n');
}

/** Counts the bytes at the end that may begin a head. */
function countHeadStartBytes(bytes: Uint8Array): number {
	const end = Buffer.from(bytes.subarray(1 - headStart.length)).toString('latin1');
	return Array.from(headStart, (_, index) => headStart.length - 1 - index).find(length => end.endsWith(headStart.slice(0, length))) ?? 0;
}

/**
 * Reads a body part by part and finds a response head in it that belongs to the same request or to an earlier one of the
 * connection: the backend server has sent more than one response, so the body ends before that head at the latest. Bytes that
 * may begin a head are held back until the following ones tell. A body may quote heads of any other request.
 *
 * The body of a response without a length is whole when the second response names its length or has the same body.
 */
export class ExtraResponseScan {
	readonly #options: ExtraResponseScanOptions;
	readonly #bodyHash: Hash | undefined;
	#heldBytes: Uint8Array = new Uint8Array();
	#bodyBytes = 0;
	#excessBytes = 0;
	#copy: Copy | undefined;
	#verdict: BodyVerdict = 'open';

	constructor(options: ExtraResponseScanOptions) {
		this.#options = options;
		this.#bodyHash = options.isUnframed ? createHash('sha256') : undefined;
	}

	getVerdict(): BodyVerdict {
		return this.#verdict;
	}

	/**
	 * True when a body that ended now would end with what may be the beginning of another response's head, without the id of a
	 * request.
	 */
	isEndUnclear(): boolean {
		const head = this.#findHeldHead();
		return head !== undefined && this.#findOwner(head) === 'unclear';
	}

	/** Number of bytes of the body so far, with those that are held back. */
	countBytes(): number {
		return this.#bodyBytes + this.#heldBytes.length;
	}

	/** Number of bytes found beyond the body so far. */
	countExcessBytes(): number {
		return this.#excessBytes;
	}

	/** Takes the next part of what arrived. Returns what belongs to the body for certain. */
	add(chunk: Uint8Array): Uint8Array {
		if (this.#copy !== undefined || this.#verdict !== 'open') {
			this.#recordExcess(chunk);
			return new Uint8Array();
		}

		const bytes = this.#heldBytes.length === 0 ? Buffer.from(chunk.buffer, chunk.byteOffset, chunk.length) : Buffer.concat([this.#heldBytes, chunk]);
		const {end, head} = this.#locateBodyEnd(bytes);
		const body = bytes.subarray(0, end);
		this.#bodyBytes += body.length;
		this.#bodyHash?.update(body);
		if (head?.bytes === undefined) {
			// Copies the few bytes so that the memory of the whole part is freed.
			this.#heldBytes = Buffer.from(bytes.subarray(end));
		} else {
			this.#handleExtraHead(head, head.bytes, bytes.subarray(end + head.bytes));
		}

		return body;
	}

	/**
	 * Ends the scan when nothing more arrives. Returns the rest of the body. Where a length or the last chunk says that the body
	 * ends here, the beginning of a head without the id of a request belongs to it.
	 */
	finish(): Uint8Array {
		const held = this.#heldBytes;
		const head = this.#findHeldHead();
		this.#heldBytes = new Uint8Array();
		if (this.#copy) {
			this.#judgeCopy(this.#copy);
			return new Uint8Array();
		}

		const owner = head && this.#findOwner(head);
		if (!head || owner === 'other' || (owner === 'unclear' && !this.#options.isUnframed)) {
			return held;
		}

		this.#excessBytes += held.length;
		this.#verdict = this.#isWholeBefore(head, owner!) ? 'whole' : 'unknown';
		return new Uint8Array();
	}

	/** Finds where the body ends for certain: at another response's head, or at the beginning of what may become one. */
	#locateBodyEnd(bytes: Uint8Array): BodyEnd {
		const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
		const text = buffer.includes(headStart) ? buffer.toString('latin1') : '';
		const end = [...text.matchAll(headStartPattern)].map(({index}) => index).find(at => this.#isBodyEnd(parseFoundHead(text, at)));
		return end === undefined ? {end: bytes.length - countHeadStartBytes(bytes), head: undefined} : {end, head: parseFoundHead(text, end)};
	}

	/** Returns the beginning of a head that is held back; undefined if there is none. */
	#findHeldHead(): FoundHead | undefined {
		return this.#heldBytes.length < minCutHeadBytes ? undefined : parseFoundHead(Buffer.from(this.#heldBytes).toString('latin1'), 0);
	}

	#isBodyEnd(head: FoundHead | undefined): boolean {
		return head !== undefined && (head.bytes === undefined || this.#findOwner(head) !== 'other');
	}

	#handleExtraHead(head: FoundHead, headBytes: number, rest: Uint8Array): void {
		const owner = this.#findOwner(head);
		this.#heldBytes = new Uint8Array();
		this.#excessBytes += headBytes;
		const isCopyUnframed = findHeader(head.headers, 'content-length') === undefined && findHeader(head.headers, 'transfer-encoding') === undefined;
		if (this.#options.isUnframed && owner === 'own' && isCopyUnframed) {
			this.#copy = {hash: createHash('sha256'), bytes: 0};
		} else {
			this.#verdict = this.#isWholeBefore(head, owner) ? 'whole' : 'unknown';
		}

		this.#recordExcess(rest);
	}

	#recordExcess(bytes: Uint8Array): void {
		this.#excessBytes += bytes.length;
		if (this.#copy && this.#verdict === 'open') {
			this.#copy.hash.update(bytes);
			this.#copy.bytes += bytes.length;
			if (this.#copy.bytes > this.#bodyBytes) {
				this.#verdict = 'unknown';
			}
		}
	}

	#judgeCopy({hash, bytes}: Copy): void {
		if (this.#verdict === 'open') {
			this.#verdict = bytes === this.#bodyBytes && hash.digest().equals(this.#bodyHash!.digest()) ? 'whole' : 'unknown';
		}
	}

	/** True when the second response names the length of the body. */
	#isWholeBefore({headers}: FoundHead, owner: HeadOwner): boolean {
		return this.#options.isUnframed && owner === 'own' && findHeader(headers, 'content-length') === String(this.#bodyBytes);
	}

	#findOwner(found: FoundHead): HeadOwner {
		const {head, requestId, earlierRequestIds, findRequestId} = this.#options;
		const foundId = findRequestId(found);
		if (foundId !== undefined) {
			return foundId === requestId ? 'own' : (earlierRequestIds.has(foundId) ? 'earlier' : 'other');
		}

		if (found.bytes === undefined) {
			return 'unclear';
		}

		return found.status === head.status && formatHeaders(found.headers) === formatHeaders(head.headers) ? 'own' : 'other';
	}
}
