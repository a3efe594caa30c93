/** Bounds of the sequencer. */

/** Largest body of an answer that is kept, in bytes; it fits the first window of an exchange. */
export const maxAnswerBytes = 65_536;

/** Most bytes a node keeps for all keys, in bytes. */
export const maxKeptBytes = 12_582_912;

/** Most bytes kept for the keys of one caller's terms, in bytes. */
export const maxKeptBytesPerTerms = 4_194_304;

/** Most keys a node keeps. */
export const maxKeys = 50_000;

/** Most keys kept for one caller's terms. */
export const maxKeysPerTerms = 10_000;

/** Memory one record takes beside its answer, in bytes. */
export const recordBytes = 512;

/** Time that outcomes are kept beyond the end of their terms, in milliseconds. */
export const keepAfterExpiryMs = 60_000;

/** Time beyond its deadline after which a run is given up as unknown, in milliseconds. */
export const runSlackMs = 2000;

/** Time between two ticks of the pause detector, in milliseconds. */
export const pauseTickMs = 100;

/** Silence of the detector's ticks that counts as a pause of the process, in milliseconds. */
export const pauseBoundMs = 1000;

/** Time after a pause in which requests that arrived during it may still be read, in milliseconds. */
export const pauseGraceMs = 500;

/** Delay a caller is told when no more keys are kept, in milliseconds. */
export const keysFullRetryMs = 5000;

/** Most sends of one key that wait for its run. */
export const maxWaitersPerKey = 64;
