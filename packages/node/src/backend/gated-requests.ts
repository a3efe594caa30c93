/** What a gated server reads from the head of a request. */
import {type RequestHead} from '@limpetbarrow/core';
import {type AdmissionController, type AdmissionRequest, type NewRequest} from '@limpetbarrow/admission';

/** Priority of requests that carry none; lower numbers go first. */
export const defaultPriority = 1000;

/** The properties of a request that its expected load depends on; `organisation` is undefined for one without requests here. */
export type LoadedHead = Partial<Pick<RequestHead, 'priority' | 'route' | 'organisation' | 'objectiveMs' | 'remainingMs' | 'earlierAttempts' | 'cause'>>;

/** True when a failure of this attempt would be followed by another one. */
export function isRetryable({isRepeatable, earlierAttempts = 0, maxAttempts = 1}: RequestHead): boolean {
	return isRepeatable && earlierAttempts + 1 < maxAttempts;
}

/** Creates the description of a request for admission; `remainingMs` is the time left until its deadline, in milliseconds. */
export function createAdmissionRequest(head: RequestHead, remainingMs: number): AdmissionRequest {
	return {
		route: head.route ?? '',
		priority: head.priority ?? defaultPriority,
		isRetryable: isRetryable(head),
		remainingMs,
		objectiveMs: head.objectiveMs ?? remainingMs,
		patienceMs: head.patienceMs ?? remainingMs,
		isLastResort: head.isLastResort ?? false,
	};
}

/** Creates the description of a request for the queue, at the monotonic time `now`. */
export function createNewRequest(head: LoadedHead, gate: Pick<AdmissionController, 'estimateWork'>, now: number): NewRequest {
	const {
		priority = defaultPriority, route = '', organisation, objectiveMs, remainingMs = 0,
	} = head;
	return {
		priority, organisation, dueAt: now + (objectiveMs ?? remainingMs), workMs: gate.estimateWork(route, now),
	};
}
