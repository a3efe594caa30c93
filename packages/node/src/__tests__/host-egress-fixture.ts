/** Test fixture: a host egress with one backend server that responds with raw bytes. */
import {setTimeout as wait} from 'node:timers/promises';
import {
	Logger, MetricRegistry, type Carrier, SilentLogger, type LogEventName, type LogFields, type RequestHead,
} from '@limpetbarrow/core';
import {UnlimitedRetries, type RetryPolicy} from '@limpetbarrow/choose';
import {Announcements} from '@limpetbarrow/members';
import {HostEgress, VerifyingServerProtocol} from '../index.js';
import {
	formatRawResponse, RawBackend, testServerHeaders, type RawResponder,
} from './raw-backend.js';

/** Result of a request: `outcome` is the response's status, or the name of the failure. */
export type ExchangeResult = {
	readonly outcome: string;
	readonly body: string;
};

/** The objects that a test uses. */
export type HostEgressFixture = {
	readonly backend: RawBackend;
	readonly announcements: Announcements;
	readonly egress: HostEgress;
	readonly send: (head?: Partial<RequestHead>) => Promise<ExchangeResult>;
	readonly announce: (fields?: Readonly<Record<string, unknown>>) => void;
	readonly logger: RecordingLogger;
	readonly close: () => Promise<void>;
};

/** Answers each request with a signed, complete response. */
export const answerComplete: RawResponder = (socket, text) => {
	socket.write(formatRawResponse(text));
};

/** Records the logged events. */
export class RecordingLogger extends Logger {
	lines: ReadonlyArray<readonly [LogEventName, LogFields]> = [];

	override log(event: LogEventName, fields: LogFields = {}): void {
		this.lines = [...this.lines, [event, fields]];
	}
}

/** Creates the head of a request; `head` replaces some of its fields. */
export function createTestHead(head: Partial<RequestHead> = {}): RequestHead {
	return {
		requestId: 'r-1',
		target: {kind: 'egress', serverId: 'server-1'},
		service: 'catalogue',
		method: 'GET',
		path: '/sizes?x=1',
		headers: ['host', 'shop.example', 'x-extra', 'kept', 'x-caller', 'forged', 'connection', 'x-hop', 'x-hop', 'dropped'],
		remainingMs: 2000,
		isRepeatable: true,
		organisation: '',
		callerService: 'desk',
		...head,
	};
}

/** Sends one request through an egress and collects the response. */
export async function sendRequest(egress: Carrier, head: Partial<RequestHead>): Promise<ExchangeResult> {
	return new Promise(resolve => {
		let status = 0;
		let body = '';
		const exchange = egress.openExchange(createTestHead(head), {
			handleHead(answer) {
				status = answer.status;
			},
			handleData(chunk) {
				body += new TextDecoder().decode(chunk);
			},
			handleCredit() {
				// The requests have no body.
			},
			handleEnd() {
				resolve({outcome: String(status), body});
			},
			handleFailure({name}) {
				resolve({outcome: name, body});
			},
		});
		exchange.endBody();
	});
}

/** Waits until a condition holds, at most `boundMs` milliseconds. */
export async function waitFor(condition: () => boolean, boundMs = 1000): Promise<void> {
	if (!condition() && boundMs > 0) {
		await wait(5);
		await waitFor(condition, boundMs - 5);
	}
}

/** Starts a backend server that answers with the responder, and an egress to which it is announced. */
export async function startHostEgressFixture(responder: RawResponder, createRetries: () => RetryPolicy = () => new UnlimitedRetries()): Promise<HostEgressFixture> {
	const logger = new RecordingLogger();
	const backend = new RawBackend(responder);
	const {host, port} = await backend.listen();
	const announcements = new Announcements(new SilentLogger());
	const egress = new HostEgress({
		announcements,
		protocol: new VerifyingServerProtocol(testServerHeaders),
		createRetries,
		listFleetMarks: () => [],
		isTakingWork: () => true,
		metrics: new MetricRegistry(),
		logger,
	});
	const announce = (fields: Readonly<Record<string, unknown>> = {}): void => {
		announcements.accept({
			id: 'server-1', service: 'catalogue', address: `${host}:${port}`, slots: 3, generation: 1, ...fields,
		}, host);
	};

	announce();
	return {
		backend,
		announcements,
		egress,
		announce,
		logger,
		send: async (head = {}) => sendRequest(egress, head),
		async close() {
			await egress.close();
			backend.close();
		},
	};
}
