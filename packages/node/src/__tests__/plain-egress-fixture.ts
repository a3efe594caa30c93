/** Test fixture: the egress of the product's own node with one backend server that responds with raw bytes. */
import {MetricRegistry, type RequestHead} from '@limpetbarrow/core';
import {PeerSummarySource, type ServerSummary} from '@limpetbarrow/detect';
import {Announcements} from '@limpetbarrow/members';
import {ReleaseState} from '@limpetbarrow/releases';
import {Egress} from '../index.js';
import {RecordingLogger, sendRequest, type ExchangeResult} from './host-egress-fixture.js';
import {RawBackend, type RawResponder} from './raw-backend.js';

/** The objects that a test uses. */
export type PlainEgressFixture = {
	readonly backend: RawBackend;
	readonly announce: (address: string, generation: number) => void;
	readonly logger: RecordingLogger;
	readonly send: (head?: Partial<RequestHead>) => Promise<ExchangeResult>;
	readonly close: () => Promise<void>;
};

/** A fleet without other nodes. */
class NoPeers extends PeerSummarySource {
	override async fetchSummaries(): Promise<readonly ServerSummary[]> {
		return [];
	}
}

/** Starts a backend server that answers with the responder, and an egress to which it is announced. */
export async function startPlainEgressFixture(responder: RawResponder): Promise<PlainEgressFixture> {
	const logger = new RecordingLogger();
	const backend = new RawBackend(responder);
	const {host, port} = await backend.listen();
	const announcements = new Announcements(logger);
	const egress = new Egress({
		announcements, releases: new ReleaseState(), baselineSource: new NoPeers(), listFleetMarks: () => [], metrics: new MetricRegistry(), logger,
	});
	const announce = (address: string, generation: number): void => {
		announcements.accept({
			id: 'server-1', service: 'catalogue', address, slots: 3, generation,
		}, host);
	};

	announce(`${host}:${port}`, 1);
	return {
		backend,
		announce,
		logger,
		send: async (head = {}) => sendRequest(egress, head),
		async close() {
			await egress.close();
			backend.close();
		},
	};
}
