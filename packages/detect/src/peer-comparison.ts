/** Compares a backend server with its peers over the same windows of time. */
import {priorFailureShare} from './constants.js';
import {computeDivergence} from './divergence.js';
import {mergeCounts} from './sliding-windows.js';
import {type ServerSummary, type WindowCounts} from './types.js';

/** Least ratio of a server's share of bad requests to its peers' share that counts as worse. */
const minShareRatio = 2;
/** Requests without a failure that are added to the peers' counts as a prior. */
const priorPeerRequests = 2;
/** Evidence above which the peers count as degraded, as a natural logarithm of odds. */
const minRaisedEvidence = 3;
/** Factor on the evidence against one server while its peers are degraded. */
const degradedEvidenceWeight = 0.5;
const maxShare = 0.999;
/** Least number of bad requests of a server that degraded peers can explain. */
const minExplainedBadRequests = 4;

/**
 * Computes the generalised log-likelihood ratio of two separate shares to one common share; 0 unless the first share is at
 * least `minShareRatio` times the second.
 */
function computeLogLikelihoodRatio(bad: number, requests: number, peerBad: number, peerRequests: number): number {
	const total = peerRequests + priorPeerRequests;
	const share = requests === 0 ? 0 : bad / requests;
	const peerShare = peerBad / total;
	const common = (bad + peerBad) / (requests + total);
	if (share === 0 || share < peerShare * minShareRatio) {
		return 0;
	}

	return (requests * computeDivergence(share, common)) + (total * computeDivergence(peerShare, common));
}

/** Computes the strongest evidence of one window over bad, failed and slow requests, halved while the peers are degraded. */
function computeWindowEvidence(own: WindowCounts, peers: WindowCounts, normalShare: number): number {
	const measures = [({bad}: WindowCounts) => bad, ({failures}: WindowCounts) => failures, ({slow}: WindowCounts) => slow];
	const evidence = Math.max(...measures.map(count => computeLogLikelihoodRatio(count(own), own.requests, count(peers), peers.requests)));
	return isDegraded(peers, normalShare) ? evidence * degradedEvidenceWeight : evidence;
}

/** True when the peers themselves are clearly above their normal share of bad requests. */
function isDegraded({bad, requests}: WindowCounts, normalShare: number): boolean {
	const share = requests === 0 ? 0 : bad / requests;
	return share > normalShare && requests * computeDivergence(share, normalShare) > minRaisedEvidence;
}

/**
 * True when the peers are degraded in a window and the server isn't clearly worse than them there. One such window is
 * enough, since differences in longer windows then result from how the server's traffic was spread over time.
 */
function isExplainedByPeers(own: WindowCounts, peers: WindowCounts, normalShare: number): boolean {
	const isWorse = own.bad * Math.max(1, peers.requests) > minShareRatio * peers.bad * own.requests;
	return own.bad >= minExplainedBadRequests && !isWorse && isDegraded(peers, normalShare);
}

/** Computes the peers' normal share of bad requests, which includes the share that is slow by definition. */
function computeNormalShare(peers: readonly ServerSummary[]): number {
	const requests = peers.reduce((sum, {normal}) => sum + normal.requests, 0);
	const failures = peers.reduce((sum, {normal}) => sum + normal.failures, 0);
	return Math.min(maxShare, priorFailureShare + Math.max(priorFailureShare, requests === 0 ? 0 : failures / requests));
}

/**
 * Computes the evidence that a backend server is worse than its peers, as a natural logarithm of odds: the strongest over
 * all windows. It stays low while the service is degraded as a whole, since the peers then degrade at the same time; and
 * any evidence counts half in windows in which they do.
 */
export function computePeerEvidence(own: ServerSummary, peers: readonly ServerSummary[]): number {
	const normalShare = computeNormalShare(peers);
	const pairs = own.windows.map((counts, index) => ({counts, peerCounts: mergeCounts(peers.flatMap(({windows}) => windows[index] ?? []))}));
	if (pairs.some(({counts, peerCounts}) => isExplainedByPeers(counts, peerCounts, normalShare))) {
		return 0;
	}

	return Math.max(0, ...pairs.map(({counts, peerCounts}) => computeWindowEvidence(counts, peerCounts, normalShare)));
}
