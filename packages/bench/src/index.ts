/** Benchmarks. */

/** Names of the benchmarks, as `npm run bench -- NAME` takes them. */
export const benchmarkNames = ['latency'] as const;
