/** Types of the sequencer's keys, records and outcomes. */
import {type Either} from 'purify-ts';
import {type Failure, type RequestHead, type ResponseHead} from '@limpetbarrow/core';
import {type KeyedRun} from './keyed-run.js';

/** A key with verified terms that name this process of this node as the home. */
export type KeyedRequest = {
	readonly termsId: string;
	readonly part: string;
	/** Number of this attempt to send the key, counted by the caller; 0 if the caller does not count. */
	readonly attempt: number;
	/** End of the terms, in Unix milliseconds. */
	readonly expiresAt: number;
};

/** Parses and verifies the key of a request. */
export type ReadKey = (head: RequestHead) => Either<Failure, KeyedRequest>;

/** A complete answer that is stored for resends. */
export type KeptAnswer = {
	readonly head: ResponseHead;
	readonly body: readonly Uint8Array[];
};

/** Result of the run of a key: an answer, an unknown outcome, or a refusal before the request ran. */
export type RunResult
	= | {readonly kind: 'answer'; readonly answer: KeptAnswer}
		| {readonly kind: 'unknown'; readonly failure: Failure}
		| {readonly kind: 'refused'; readonly failure: Failure};

/** State of a key: its run in progress or the result of its run. */
export type KeyOutcome = RunResult | {readonly kind: 'running'; readonly run: KeyedRun};

/** Stored record of a key. */
export type KeyRecord = {
	/** Service, method and path; a key identifies only one request. */
	readonly request: string;
	/** Digest of the request's body; undefined until the body is complete. */
	readonly bodyDigest: string | undefined;
	/** Highest attempt that was answered with "not run"; attempts up to this number never run. */
	readonly refusedAttempt: number;
	readonly outcome: KeyOutcome;
	readonly bytes: number;
};

/** Limits of the number of stored keys and of their memory in bytes, for the node and for each terms. */
export type KeyBounds = {
	readonly maxKeys: number;
	readonly maxKeysPerTerms: number;
	readonly maxKeptBytes: number;
	readonly maxKeptBytesPerTerms: number;
};
