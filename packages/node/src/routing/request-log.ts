/** The log line that ends a request on the host it came in at. */
import {type Failure, type Logger} from '@limpetbarrow/core';
import {type RoutedRequest} from './routed-request.js';

/** How a request ended. */
export type RequestEndEvent = 'requestAnswered' | 'requestRefused' | 'requestGivenUp';

/** Status that the caller got, 0 for none, and the failure behind it. */
export type RequestEnd = {
	readonly status: number;
	readonly failure: Failure | undefined;
};

/** Logs the end of a request with all of its attempts. */
export function logRequestEnd(logger: Logger, event: RequestEndEvent, request: RoutedRequest, {status, failure}: RequestEnd): void {
	const {
		requestId, route, service, isRepeatable, priority, objectiveMs, remainingMs, organisation,
	} = request.head;
	logger.log(event, {
		request: requestId,
		route,
		service,
		isRepeatable,
		priority,
		objectiveMs,
		deadlineMs: Math.round(remainingMs),
		...(organisation !== '' && {organisation}),
		status,
		code: failure?.code,
		detail: failure?.detail,
		tries: request.formatTrace(),
		ms: Math.round(request.getElapsedMs(performance.now())),
	});
}
