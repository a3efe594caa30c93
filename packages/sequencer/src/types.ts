/** What the sequencer keeps. */
import {type Either} from 'purify-ts';
import {type Failure, type RequestHead, type ResponseHead} from '@limpetbarrow/core';
import {type KeyedRun} from './keyed-run.js';

/** A key whose terms were verified and name this run of this node as home. */
export type KeyedRequest = {
	readonly termsId: string;
	readonly part: string;
	/** Number of this send of the key as its caller counts them; 0 when the caller does not count. */
	readonly attempt: number;
	/** End of the terms, Unix milliseconds. */
	readonly expiresAt: number;
};

/** Reads and verifies the key of a request. */
export type ReadKey = (head: RequestHead) => Either<Failure, KeyedRequest>;

/** A whole answer that is kept for resends. */
export type KeptAnswer = {
	readonly head: ResponseHead;
	readonly body: readonly Uint8Array[];
};

/** What became of the run of a key. */
export type RunResult
	= | {readonly kind: 'answer'; readonly answer: KeptAnswer}
		| {readonly kind: 'unknown'; readonly failure: Failure}
		| {readonly kind: 'refused'; readonly failure: Failure};

/** State of a key. */
export type KeyOutcome = RunResult | {readonly kind: 'running'; readonly run: KeyedRun};

/** What is kept of a key. */
export type KeyRecord = {
	/** Service, method and path; a key names one request only. */
	readonly request: string;
	/** Digest of the request's body; undefined while the body is not whole. */
	readonly bodyDigest: string | undefined;
	/** Highest attempt whose caller was told "not run"; attempts up to it never run. */
	readonly refusedAttempt: number;
	readonly outcome: KeyOutcome;
	readonly bytes: number;
};

/** Most keys and bytes that are kept. */
export type KeyBounds = {
	readonly maxKeys: number;
	readonly maxKeysPerTerms: number;
	readonly maxKeptBytes: number;
	readonly maxKeptBytesPerTerms: number;
};
