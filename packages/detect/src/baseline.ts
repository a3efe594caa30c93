/** Works out what is normal for a service from summaries of its backend servers. */
import {
	minDurationSamples, priorFailureShare, priorRequests, slowFactor, slowQuantile,
} from './constants.js';
import {computeBucketEdge, findBucket, mergeSummaries} from './summary.js';
import {type Baseline, type OutcomeSummary, type ServerSummary} from './types.js';

/** Baseline of a service that has shown nothing yet; no duration counts as slow. */
export const noBaseline: Baseline = {
	failureShare: priorFailureShare, slowMs: Number.POSITIVE_INFINITY, slowShare: priorFailureShare, requests: 0,
};

const trimmedPart = 4;
const minTrimmed = 3;
const maxShare = 0.999;

function countAnswers({durations}: OutcomeSummary): number {
	return durations.reduce((sum, count) => sum + count, 0);
}

/** Finds the bucket below or in which a share of the answers lies. */
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

/** Drops the worst quarter, so that another failing backend server doesn't pass for normal. */
function selectTypical(summaries: readonly OutcomeSummary[], measure: (summary: OutcomeSummary) => number): readonly OutcomeSummary[] {
	const dropped = summaries.length < minTrimmed ? 0 : Math.ceil(summaries.length / trimmedPart);
	return summaries.toSorted((a, b) => measure(a) - measure(b)).slice(0, summaries.length - dropped);
}

function estimateFailureShare({requests, failures}: OutcomeSummary, priorWeight: number): number {
	const share = (failures + (priorWeight * priorFailureShare)) / (requests + priorWeight);
	return Math.min(maxShare, Math.max(priorFailureShare, share));
}

function estimateSlowShare(summary: OutcomeSummary, slowMs: number): number {
	const share = (countSlow(summary, slowMs) + (priorRequests * priorFailureShare)) / (countAnswers(summary) + priorRequests);
	return Math.min(maxShare, share);
}

/** Estimates the baseline from one summary for each other backend server. */
export function estimateBaseline(summaries: readonly OutcomeSummary[], priorWeight = priorRequests): Baseline {
	const seen = summaries.filter(({requests}) => requests > 0);
	const pooled = mergeSummaries(selectTypical(seen, computeFailureShare));
	const answers = mergeSummaries(selectTypical(seen, summary => findQuantileBucket(summary, 0.5)));
	const failureShare = estimateFailureShare(pooled, priorWeight);
	const total = countAnswers(answers);
	if (total < minDurationSamples) {
		return {...noBaseline, failureShare, requests: pooled.requests};
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

function countSlow({durations}: OutcomeSummary, slowMs: number): number {
	return durations.filter((_, bucket) => computeBucketEdge(bucket) > slowMs).reduce((sum, count) => sum + count, 0);
}

/** Number of requests that were bad by a baseline: failed, or answered slowly. */
export function countBad(summary: OutcomeSummary, {slowMs}: Baseline): number {
	return Math.min(summary.requests, summary.failures + countSlow(summary, slowMs));
}

/**
 * Estimates the baseline that a backend server is tested against. A rise that the other servers of the service show in
 * a shorter window counts at once, so that a service degraded as a whole becomes its own measure.
 */
export function estimateServiceBaseline(others: readonly ServerSummary[]): Baseline {
	const normal = estimateBaseline(others.map(summary => summary.normal));
	const shorter = [others.map(({medium}) => medium), others.map(({recent}) => recent)];
	const failureShares = shorter.map(summaries => estimateBaseline(summaries).failureShare);
	const slowShares = shorter.map(summaries => estimateSlowShare(mergeSummaries(summaries), normal.slowMs));
	return {
		...normal,
		failureShare: Math.max(normal.failureShare, ...failureShares),
		slowShare: Math.max(normal.slowShare, ...slowShares),
	};
}
