/** Compares a backend server with what its peers show at the same time. */
import {computeDivergence} from './divergence.js';
import {mergeCounts} from './window-ladder.js';
import {type ServerSummary, type WindowCounts} from './types.js';

const minShareRatio = 2;
/** Weight of a peer group that is taken as healthy before it has shown anything, in requests. */
const assumedRequests = 2;

/** Generalised log-likelihood ratio between two shares of their own and one common share; 0 unless the first is clearly higher. */
function computeEvidence(bad: number, requests: number, peerBad: number, peerRequests: number): number {
	const total = peerRequests + assumedRequests;
	const share = requests === 0 ? 0 : bad / requests;
	const peerShare = peerBad / total;
	const common = (bad + peerBad) / (requests + total);
	if (share === 0 || share < peerShare * minShareRatio) {
		return 0;
	}

	return (requests * computeDivergence(share, common)) + (total * computeDivergence(peerShare, common));
}

function computeWindowEvidence(own: WindowCounts, peers: WindowCounts): number {
	const measures = [({bad}: WindowCounts) => bad, ({failures}: WindowCounts) => failures, ({slow}: WindowCounts) => slow];
	return Math.max(...measures.map(count => computeEvidence(count(own), own.requests, count(peers), peers.requests)));
}

/**
 * Evidence that a backend server is worse than its peers, as a natural logarithm of odds: the strongest over all
 * windows. It stays low while the service is degraded as a whole, since the peers then show the same at the same time.
 */
export function computePeerEvidence(own: ServerSummary, peers: readonly ServerSummary[]): number {
	return Math.max(...own.windows.map((counts, index) => computeWindowEvidence(counts, mergeCounts(peers.flatMap(({windows}) => windows[index] ?? [])))));
}
