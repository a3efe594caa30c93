/** Turns the ends of requests at a backend server into evidence of its health, and reports when its state changes. */
import {type Failure, type RequestHead, type ResultName} from '@limpetbarrow/core';
import {type AdmissionController, type ServerOutcome} from '@limpetbarrow/admission';
import {type WorkOutcome} from '@limpetbarrow/detect';
import {CallTracker} from './call-tracker.js';

/** Callbacks for changes of a backend server's state. */
export type ServerStateHandler = {
	/** Called when the gate's estimate of the backend server's health changes; `sickness` is a probability. */
	readonly reportHealth: (isUnwell: boolean, sickness: number) => void;
	/** Called when the backend server starts to reject a large part of its work, and when it accepts work again. */
	readonly reportShedding: (isShedding: boolean) => void;
};

/** Gate outcomes of failures that mean something other than that the backend server lost work. All others count as `failed`. */
const gateOutcomesByFailure: ReadonlyMap<ResultName | undefined, ServerOutcome> = new Map([['serverRefused', 'unreachable'], ['serverShed', 'shed']]);

/** Records the outcomes of one backend server's requests at its gate. */
export class ServerOutcomes {
	/** Calls that the backend server makes for the requests it runs. */
	readonly calls = new CallTracker();
	readonly #gate: AdmissionController;
	readonly #handler: ServerStateHandler;
	#wasUnwell = false;
	#wasShedding = false;

	constructor(gate: AdmissionController, handler: ServerStateHandler) {
		this.#gate = gate;
		this.#handler = handler;
	}

	/**
	 * Records how a request ended. Nothing follows from one that was cancelled or timed out, nor from the server error that
	 * answers a request whose call has failed.
	 */
	recordEnd(head: RequestHead, {kind, durationMs}: WorkOutcome, failure: Failure | undefined): void {
		const isCallFailure = failure === undefined && this.calls.hasFailedCall(head.requestId);
		this.calls.forget(head.requestId);
		if (kind === 'answered') {
			this.#gate.recordWork(head.route ?? '', durationMs);
			this.#recordOutcome('well');
		} else if (kind === 'failed' && !isCallFailure) {
			this.#recordOutcome(gateOutcomesByFailure.get(failure?.name) ?? 'failed');
		}
	}

	/** Records that a request takes much longer than expected. One that waits for its own call does so without fault. */
	recordOverdue(head: RequestHead): void {
		if (!this.calls.isCalling(head.requestId)) {
			this.#recordOutcome('failed');
		}
	}

	#recordOutcome(outcome: ServerOutcome): void {
		const now = performance.now();
		this.#gate.recordOutcome(outcome, now);
		const isUnwell = this.#gate.isUnwell(now);
		if (isUnwell !== this.#wasUnwell) {
			this.#wasUnwell = isUnwell;
			this.#handler.reportHealth(isUnwell, this.#gate.estimateFailingProbability(now));
		}

		const isShedding = this.#gate.isShedding(now);
		if (isShedding !== this.#wasShedding) {
			this.#wasShedding = isShedding;
			this.#handler.reportShedding(isShedding);
		}
	}
}
