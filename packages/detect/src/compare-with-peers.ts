/** Compares a backend server with what its peers show at the same time. */
import {countBad, estimateBaseline} from './baseline.js';
import {type Baseline, type OutcomeSummary, type ServerSummary} from './types.js';

/** Evidence, as a natural logarithm of odds, from which peers count as degraded themselves. */
const degradedEvidence = 3;
/** Evidence that a backend server is worse than degraded peers: one in 10,000 by chance. */
const worseEvidence = Math.log(10_000);
const comparedPriorRequests = 3;
const minShareRatio = 2;
const maxShare = 0.999;

/** Kullback-Leibler divergence between two shares: mean evidence of one request. */
export function computeDivergence(share: number, from: number): number {
	const terms = [[share, from], [1 - share, 1 - from]] as const;
	return terms.reduce((sum, [a, b]) => sum + (a === 0 ? 0 : a * Math.log(a / b)), 0);
}

function computeEvidence(bad: number, requests: number, baseShare: number): number {
	const share = requests === 0 ? 0 : bad / requests;
	return share <= baseShare ? 0 : requests * computeDivergence(share, baseShare);
}

function isExplained(own: OutcomeSummary, peers: readonly OutcomeSummary[], normal: Baseline): boolean {
	const requests = peers.reduce((sum, peer) => sum + peer.requests, 0);
	const bad = peers.reduce((sum, peer) => sum + countBad(peer, normal), 0);
	const normalShare = Math.min(maxShare, normal.failureShare + normal.slowShare);
	if (computeEvidence(bad, requests, normalShare) < degradedEvidence) {
		return false;
	}

	const peerShare = Math.min(maxShare, (bad + (comparedPriorRequests * normalShare)) / (requests + comparedPriorRequests));
	const ownBad = countBad(own, normal);
	const isWorse = ownBad > own.requests * peerShare * minShareRatio || peerShare * minShareRatio > 1;
	return !isWorse || computeEvidence(ownBad, own.requests, peerShare) < worseEvidence;
}

/** The worst quarter of the peers is left out, so that another failing server explains nothing. */
function selectTypicalPeers(peers: readonly ServerSummary[], normal: Baseline): readonly ServerSummary[] {
	const measure = ({recent, medium}: ServerSummary): number => (countBad(recent, normal) / Math.max(1, recent.requests))
		+ (countBad(medium, normal) / Math.max(1, medium.requests));
	const dropped = peers.length < 3 ? 0 : Math.ceil(peers.length / 4);
	return peers.toSorted((a, b) => measure(a) - measure(b)).slice(0, peers.length - dropped);
}

/** True when the peers' present state explains what was seen of the backend server: the service is degraded as a whole. */
export function isServiceDegraded(own: ServerSummary, peers: readonly ServerSummary[]): boolean {
	const normal = estimateBaseline(peers.map(peer => peer.normal));
	const typical = selectTypicalPeers(peers, normal);
	return isExplained(own.recent, typical.map(({recent}) => recent), normal)
		|| isExplained(own.medium, typical.map(({medium}) => medium), normal);
}
