/** Creates the head that an admitted request has on its way to a backend server. */
import {createRandomId, type RequestCause, type RequestHead} from '@limpetbarrow/core';
import {isRepeatable, pickService} from '@limpetbarrow/choose';
import {type Terms} from '@limpetbarrow/limits';
import {type Route} from '@limpetbarrow/releases';
import {type CallerIdentity} from './caller-identity.js';
import {type IngressRequest} from './ingress-request.js';

/** A request that may be forwarded. */
export type AdmittedRequest = {
	readonly request: IngressRequest;
	readonly route: Route;
	readonly terms: Terms | undefined;
	readonly identity: CallerIdentity | undefined;
};

/** What the host of a request knows about its origin. */
export type RequestOrigin = {
	/** Service that runs on this host, which is reported to backend servers as the calling service. */
	readonly getCallerService?: () => string;
	/** Finds by id the request that caused a call from this host's backend server; undefined for requests of callers. */
	readonly findCause?: (requestId: string) => RequestCause | undefined;
};

/** Creates the head of a request that has waited so many milliseconds at the ingress. */
export function createRequestHead({request, route, terms, identity}: AdmittedRequest, waitedMs: number, {getCallerService, findCause}: RequestOrigin): RequestHead {
	const callerService = getCallerService?.();
	const cause = request.requestId === undefined ? undefined : findCause?.(request.requestId);
	const timeoutsMs = [request.timeoutMs, terms?.timeoutMs, route.timeoutMs].filter(bound => bound !== undefined);
	const priority = identity?.priority ?? route.priority;
	return {
		requestId: request.requestId ?? createRandomId(),
		target: request.idempotencyKey === undefined ? {kind: 'egress', serverId: ''} : {kind: 'sequencer'},
		service: pickService(route, Math.random()),
		method: request.method,
		path: request.path,
		headers: identity?.headers ?? request.headers,
		remainingMs: Math.min(...timeoutsMs) - waitedMs,
		isRepeatable: isRepeatable(route, request.method),
		organisation: identity?.organisation?.name ?? terms?.organisation ?? '',
		route: route.name,
		...(priority !== undefined && {priority}),
		...(route.maxAttempts !== undefined && {maxAttempts: route.maxAttempts}),
		...(route.objectiveMs !== undefined && {objectiveMs: route.objectiveMs}),
		...(callerService !== undefined && {callerService}),
		...(cause !== undefined && {cause}),
		...(request.idempotencyKey !== undefined && {idempotencyKey: request.idempotencyKey}),
	};
}
