/** Reports bytes that a backend server sent beyond the end of a response. */
import {type Logger, type MetricRegistry} from '@limpetbarrow/core';
import {type ExcessBytes} from './connection-requests.js';

/** Logs the response's request and counts the bytes; `serverId` is the backend server. */
export function reportExcess(logger: Logger, metrics: MetricRegistry, serverId: string, {requestId, bytes}: ExcessBytes): void {
	metrics.addCount('egress_excess_responses_total');
	metrics.addCount('egress_excess_bytes_total', bytes);
	logger.log('responseExceeded', {request: requestId, server: serverId, bytes});
}
