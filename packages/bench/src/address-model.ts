/** Many callers behind one address, one of them greedy: limits keyed on the caller against limits keyed on the address. */
import {LocalRateLimiter} from '@limpetbarrow/limits';
import {createRandom} from './limits-model.js';

/** What a limit is keyed on. */
export type LimitKey = 'caller' | 'address, rate of one caller' | 'address, 20 a second';

/** Requests of callers within their terms that were refused, and all of them. */
export type BystanderCounts = {
	readonly sent: number;
	readonly refused: number;
};

const callers = 100;
const rate = 4;
const addressRate = 20;
const demand = 0.5;
const greedyDemand = 50;
const durationMs = 30_000;
const stepMs = 1;
const msPerS = 1000;

/** Runs all callers through one node. */
export function simulateAddress(key: LimitKey, seed: number): BystanderCounts {
	const random = createRandom(seed * 7919);
	const limiter = new LocalRateLimiter();
	const steps = Array.from({length: durationMs / stepMs}, (_, step) => step * stepMs);
	const counts = {sent: 0, refused: 0};
	steps.forEach(now => {
		Array.from({length: callers}, (_, index) => index)
			.filter(index => random() < rate * (index === 0 ? greedyDemand : demand) * stepMs / msPerS)
			.forEach(index => {
				const limited = key === 'caller' ? {caller: `caller-${index}`, rate} : {caller: 'address', rate: key === 'address, 20 a second' ? addressRate : rate};
				const isRefused = limiter.takePermit(limited, now).isLeft();
				counts.sent += index === 0 ? 0 : 1;
				counts.refused += index > 0 && isRefused ? 1 : 0;
			});
	});
	return counts;
}
