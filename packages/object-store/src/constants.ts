/** Bounds of the platform's object API. */

/** Largest value the object API holds, in bytes. */
export const maxValueBytes = 1_048_576;

/** Time a call other than a watch may take, in milliseconds. */
export const callTimeoutMs = 3000;

/** Time a watch waits for a change before it answers empty, in milliseconds. */
export const watchWaitMs = 10_000;

/** Largest answer that is read, in bytes. */
export const maxResponseBytes = 33_554_432;
