/** A client of one host: it sends single attempts, each with its own id. */
import {Agent, request} from 'node:http';
import {randomBytes} from 'node:crypto';

/** Sends one attempt; resolves to what came back, with `status` 0 if the connection ended without a complete answer. */
export const send = async ({to, method = 'GET', path, body, deadlineMs = 5000, agent, headers = {}}) => new Promise(resolve => {
	const requestId = randomBytes(8).toString('hex');
	const startedAt = Date.now();
	const finish = fields => resolve({
		requestId, method, path: path.slice(0, 80), isReused: call.reusedSocket, ms: Date.now() - startedAt, ...fields,
	});
	const call = request({
		...to, method, path, agent, headers: {
			host: 'shop.example', 'request-id': requestId, 'deadline-ms': String(deadlineMs), ...(body !== undefined && {'content-length': body.length}), ...headers,
		},
	}, response => {
		let bytes = 0;
		const {statusCode: status, headers: {'server-signature': signature, 'limpetbarrow-result': result}} = response;
		response.on('data', part => {
			bytes += part.length;
		});
		response.on('end', () => finish({
			status: response.complete ? status : 0, signature, result, bytes,
		}));
		response.on('error', error => finish({
			status: 0, headStatus: status, bytes, error: error.code ?? error.message,
		}));
	});
	call.on('error', error => finish({status: 0, error: error.code ?? error.message}));
	call.end(body);
});

/** Keeps connections open for many requests. */
export const createAgent = () => new Agent({keepAlive: true, maxSockets: 1});
