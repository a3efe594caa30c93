/** Benchmarks by name. Each resolves to its exit code: 0 when its bounds from the stated targets hold. */
import {measureDetection} from './detection.js';
import {measureKeys} from './keys.js';
import {measureLatency} from './latency.js';
import {measureLimits} from './limits.js';
import {measureLink} from './link.js';
import {measureMembership} from './membership.js';
import {measureOverload} from './overload.js';
import {measurePoison} from './poison.js';
import {measureReleases} from './releases.js';

/** Runs one benchmark and prints its table. */
export type Benchmark = () => Promise<number>;

/** All benchmarks, as `npm run bench -- NAME` takes them. */
export const benchmarks: ReadonlyMap<string, Benchmark> = new Map<string, Benchmark>([
	['keys', measureKeys],
	['latency', measureLatency],
	['limits', measureLimits],
	['link', measureLink],
	['membership', measureMembership],
	['detection', measureDetection],
	['overload', measureOverload],
	['poison', measurePoison],
	['releases', measureReleases],
]);
