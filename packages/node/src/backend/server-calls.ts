/** The calls that one backend server makes for the requests it runs. */
import {type RequestHead} from '@limpetbarrow/core';
import {type CallTracker} from './call-tracker.js';
import {type StartedExchanges} from './started-exchanges.js';

/** Assigns calls to the requests that caused them, and keeps how they ended. */
export class ServerCalls {
	readonly #started: StartedExchanges;
	readonly #tracker: CallTracker;

	constructor(started: StartedExchanges, tracker: CallTracker) {
		this.#started = started;
		this.#tracker = tracker;
	}

	/** Finds the running request that caused a call. */
	findParentRequest(callId: string): RequestHead | undefined {
		return this.#started.findParentRequest(callId);
	}

	/** True for a call of a request that has ended a short time ago. */
	isCallOfEnded(callId: string): boolean {
		return this.#started.isCallOfEnded(callId);
	}

	/** Records that the backend server began a call for one of its running requests. */
	recordStart(callId: string): void {
		const parent = this.findParentRequest(callId);
		if (parent) {
			this.#tracker.recordStart(parent.requestId);
		}
	}

	/** Records that such a call ended; `isServed` is false if it failed or was given up. */
	recordEnd(callId: string, isServed: boolean): void {
		const parent = this.findParentRequest(callId);
		if (parent) {
			this.#tracker.recordEnd(parent.requestId, isServed);
		}
	}
}
