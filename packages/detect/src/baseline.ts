/** Estimates the baseline of a service, which is its normal failure rate and latency, from summaries of its backend servers. */
import {
	minDurationSamples, priorFailureShare, priorRequests, slowFactor, slowQuantile,
} from './constants.js';
import {computeDivergence} from './divergence.js';
import {computeBucketEdge, findBucket, mergeSummaries} from './summary.js';
import {
	type Baseline, type OutcomeSummary, type ServerSummary, type WindowCounts,
} from './types.js';
import {mergeCounts} from './sliding-windows.js';

/** Baseline of a service without observations; no duration counts as slow. */
export const priorBaseline: Baseline = {
	failureShare: priorFailureShare, slowMs: Number.POSITIVE_INFINITY, slowShare: priorFailureShare, requests: 0,
};

/** One in so many summaries is trimmed: the worst quarter. */
const trimDivisor = 4;
const minSummariesToTrim = 3;
const maxShare = 0.999;
/** Evidence above which a raised share is taken into the baseline, as a natural logarithm of odds. */
const minRaisedEvidence = 5;

function countAnswers({durations}: OutcomeSummary): number {
	return durations.reduce((sum, count) => sum + count, 0);
}

/** Finds the duration bucket that contains the quantile of the answers. */
function findQuantileBucket({durations}: OutcomeSummary, quantile: number): number {
	const total = durations.reduce((sum, count) => sum + count, 0);
	let below = 0;
	const bucket = durations.findIndex(count => {
		below += count;
		return below >= total * quantile;
	});
	return Math.max(0, bucket);
}

function computeFailureShare({requests, failures}: OutcomeSummary): number {
	return requests === 0 ? 0 : failures / requests;
}

/** Trims the worst quarter, so that another failing backend server doesn't count as normal. */
function selectTrimmed(summaries: readonly OutcomeSummary[], measure: (summary: OutcomeSummary) => number): readonly OutcomeSummary[] {
	const dropped = summaries.length < minSummariesToTrim ? 0 : Math.ceil(summaries.length / trimDivisor);
	return summaries.toSorted((a, b) => measure(a) - measure(b)).slice(0, summaries.length - dropped);
}

function estimateFailureShare({requests, failures}: OutcomeSummary): number {
	const share = (failures + (priorRequests * priorFailureShare)) / (requests + priorRequests);
	return Math.min(maxShare, Math.max(priorFailureShare, share));
}

/** Estimates the baseline from the summaries of the other backend servers, one for each. */
export function estimateBaseline(summaries: readonly OutcomeSummary[]): Baseline {
	const seen = summaries.filter(({requests}) => requests > 0);
	const pooled = mergeSummaries(selectTrimmed(seen, computeFailureShare));
	const answers = mergeSummaries(selectTrimmed(seen, summary => findQuantileBucket(summary, 0.5)));
	const failureShare = estimateFailureShare(pooled);
	const total = countAnswers(answers);
	if (total < minDurationSamples) {
		return {...priorBaseline, failureShare, requests: pooled.requests};
	}

	const slowBucket = findBucket(computeBucketEdge(findQuantileBucket(answers, slowQuantile)) * slowFactor);
	const slow = answers.durations.slice(slowBucket + 1).reduce((sum, count) => sum + count, 0);
	return {
		failureShare,
		slowMs: computeBucketEdge(slowBucket),
		slowShare: Math.min(maxShare, Math.max(priorFailureShare, slow / total)),
		requests: pooled.requests,
	};
}

/** Estimates the share of bad requests in a window: the observed one if clearly above normal, otherwise the normal one. */
function estimateRaisedShare(bad: number, requests: number, normalShare: number): number {
	const share = requests === 0 ? 0 : Math.min(maxShare, bad / requests);
	const isRaised = share > normalShare && requests * computeDivergence(share, normalShare) > minRaisedEvidence;
	return isRaised ? share : normalShare;
}

function mergeTrimmedCounts(counts: readonly WindowCounts[], count: (counts: WindowCounts) => number): WindowCounts {
	const dropped = counts.length < minSummariesToTrim ? 0 : Math.ceil(counts.length / trimDivisor);
	const measure = (window: WindowCounts): number => count(window) / Math.max(1, window.requests);
	return mergeCounts(counts.toSorted((a, b) => measure(a) - measure(b)).slice(0, counts.length - dropped));
}

/**
 * Estimates the baseline that a backend server is tested against. A raised share that the other servers of the service
 * show in any window counts at once, so that a service that is degraded as a whole is compared with its degraded state.
 */
export function estimateServiceBaseline(others: readonly ServerSummary[]): Baseline {
	const normal = estimateBaseline(others.map(summary => summary.normal));
	const windows = others[0]?.windows.map((_, index) => others.flatMap(summary => summary.windows[index] ?? [])) ?? [];
	const failures = windows.map(counts => mergeTrimmedCounts(counts, window => window.failures));
	const slow = windows.map(counts => mergeTrimmedCounts(counts, window => window.slow));
	return {
		...normal,
		failureShare: Math.max(normal.failureShare, ...failures.map(window => estimateRaisedShare(window.failures, window.requests, normal.failureShare))),
		slowShare: Math.max(normal.slowShare, ...slow.map(window => estimateRaisedShare(window.slow, window.requests, normal.slowShare))),
	};
}
