/** Compares a backend server with what its peers show at the same time. */
import {priorFailureShare} from './constants.js';
import {computeDivergence} from './divergence.js';
import {mergeCounts} from './sliding-windows.js';
import {type ServerSummary, type WindowCounts} from './types.js';

const minShareRatio = 2;
/** Weight of a peer group that is taken as healthy before it has shown anything, in requests. */
const priorPeerRequests = 2;
/** Evidence from which the peers count as degraded, and what evidence against one server is worth while they are. */
const minRaisedEvidence = 3;
const degradedEvidenceWeight = 0.5;
const maxShare = 0.999;
const minExplainedBadRequests = 4;

/** Generalised log-likelihood ratio between two shares of their own and one common share; 0 unless the first is clearly higher. */
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

function computeWindowEvidence(own: WindowCounts, peers: WindowCounts, normalShare: number): number {
	const measures = [({bad}: WindowCounts) => bad, ({failures}: WindowCounts) => failures, ({slow}: WindowCounts) => slow];
	const evidence = Math.max(...measures.map(count => computeLogLikelihoodRatio(count(own), own.requests, count(peers), peers.requests)));
	return isDegraded(peers, normalShare) ? evidence * degradedEvidenceWeight : evidence;
}

/** True when the peers themselves are clearly worse than normal. */
function isDegraded({bad, requests}: WindowCounts, normalShare: number): boolean {
	const share = requests === 0 ? 0 : bad / requests;
	return share > normalShare && requests * computeDivergence(share, normalShare) > minRaisedEvidence;
}

/**
 * True when the peers are degraded in a window and the server isn't clearly worse there. One such window is enough: what
 * longer ones show is then a matter of how the server's traffic was spread over time.
 */
function isExplainedByPeers(own: WindowCounts, peers: WindowCounts, normalShare: number): boolean {
	const isWorse = own.bad * Math.max(1, peers.requests) > minShareRatio * peers.bad * own.requests;
	return own.bad >= minExplainedBadRequests && !isWorse && isDegraded(peers, normalShare);
}

/** Share of bad requests that the peers take for normal: slow ones included, by the definition of slow. */
function computeNormalShare(peers: readonly ServerSummary[]): number {
	const requests = peers.reduce((sum, {normal}) => sum + normal.requests, 0);
	const failures = peers.reduce((sum, {normal}) => sum + normal.failures, 0);
	return Math.min(maxShare, priorFailureShare + Math.max(priorFailureShare, requests === 0 ? 0 : failures / requests));
}

/**
 * Evidence that a backend server is worse than its peers, as a natural logarithm of odds: the strongest over all
 * windows. It stays low while the service is degraded as a whole, since the peers then show the same at the same time;
 * and what there is counts half.
 */
export function computePeerEvidence(own: ServerSummary, peers: readonly ServerSummary[]): number {
	const normalShare = computeNormalShare(peers);
	const pairs = own.windows.map((counts, index) => ({counts, peerCounts: mergeCounts(peers.flatMap(({windows}) => windows[index] ?? []))}));
	if (pairs.some(({counts, peerCounts}) => isExplainedByPeers(counts, peerCounts, normalShare))) {
		return 0;
	}

	return Math.max(0, ...pairs.map(({counts, peerCounts}) => computeWindowEvidence(counts, peerCounts, normalShare)));
}
