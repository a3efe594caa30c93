/** What limits the time of requests besides their deadlines: a planned stop, and the time that answers take. */
import {type RequestHead} from '@limpetbarrow/core';
import {DurationEstimator} from '@limpetbarrow/admission';

/** Factor on the mean time of a route's answers, which gives the time that most of them take. */
const stopTimeFactor = 1.5;

/** The time limits of all requests of one node. */
export class RequestTimeLimits {
	readonly #answerTimes = new DurationEstimator();
	#lastAnswerAt = Number.POSITIVE_INFINITY;

	/** Limits all requests to the time until `lastAnswerAt` (monotonic time, in milliseconds). */
	startStopping(lastAnswerAt: number): void {
		this.#lastAnswerAt = lastAnswerAt;
	}

	/** Returns the monotonic time at which a planned stop ends the requests in progress; infinite while the node doesn't stop. */
	getLastAnswerAt(): number {
		return this.#lastAnswerAt;
	}

	/** Records the time from the start of an attempt to its answer, in milliseconds. */
	recordAnswer({route = ''}: RequestHead, durationMs: number): void {
		this.#answerTimes.recordDuration(route, durationMs);
	}

	/** Estimates the time from the start of an attempt to its answer, in milliseconds. */
	estimateAnswer({route = ''}: RequestHead): number {
		return this.#answerTimes.estimateDuration(route);
	}

	/**
	 * Least time that must be left for an attempt while the node stops, in milliseconds: an answer has to fit in even if it takes
	 * longer than usual. A process that stops soon after its start may have seen no answer of the route, which then may take as
	 * long as its objective.
	 */
	computeMinStopTime({route = '', objectiveMs}: RequestHead): number {
		return this.#answerTimes.estimateDuration(route, objectiveMs) * stopTimeFactor;
	}
}
