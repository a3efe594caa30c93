/** What shows that a backend server's process outlived the end of a response without a length. */
import {type Logger, type MetricRegistry} from '@limpetbarrow/core';

/** How the response's connection ended, or what became of the others to the process after it. */
export type EndReason = 'connectionReset' | 'connectionsOpen' | 'earlierConnectionsEnded' | 'noEarlierConnection' | 'newConnectionEnded' | 'newConnectionUnanswered';

/** `isProven` is true when the response counts as complete; `reason` says what showed it, or what spoke against it. */
export type EndEvidence = {
	readonly isProven: boolean;
	readonly reason: EndReason;
};

/** Logs and counts the evidence for the end of one response; `serverId` is the backend server. */
export function reportEndEvidence(logger: Logger, metrics: MetricRegistry, serverId: string, {requestId, evidence}: {readonly requestId: string; readonly evidence: EndEvidence}): void {
	const {isProven, reason} = evidence;
	metrics.addCount('egress_unframed_responses_total', 1, {reason});
	logger.log('unframedResponseJudged', {
		request: requestId, server: serverId, isProven, reason,
	});
}
