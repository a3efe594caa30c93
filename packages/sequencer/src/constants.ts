/** Limits and time constants of the sequencer. */

/** Largest stored body of an answer, in bytes; fits into the initial window of an exchange. */
export const maxAnswerBytes = 65_536;

/** Most memory that a node uses for all keys, in bytes. */
export const maxKeptBytes = 12_582_912;

/** Most memory that a node uses for the keys of one caller's terms, in bytes. */
export const maxKeptBytesPerTerms = 4_194_304;

/** Most keys that a node stores. */
export const maxKeys = 50_000;

/** Most keys that a node stores for one caller's terms. */
export const maxKeysPerTerms = 10_000;

/** Memory that one record takes in addition to its key part and its answer, in bytes. */
export const recordOverheadBytes = 512;

/** Time for which outcomes are stored after the end of their terms, in milliseconds. */
export const keepAfterExpiryMs = 60_000;

/** Time after its deadline at which a run without an outcome is ended as unknown, in milliseconds. */
export const runTimeoutMarginMs = 2000;

/** Tick interval of the pause detector, in milliseconds. */
export const pauseTickMs = 100;

/** Gap between two ticks above which the process counts as paused, in milliseconds. */
export const pauseThresholdMs = 1000;

/** Time after a pause in which the process may still read requests that arrived during the pause, in milliseconds. */
export const pauseGraceMs = 500;

/** Retry delay that a caller is given when there is no capacity for more keys, in milliseconds. */
export const keysFullRetryMs = 5000;

/** Most resends of one key that wait for its run. */
export const maxWaitersPerKey = 64;
