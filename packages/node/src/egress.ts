/** The part of a node that stands before the backend servers of its own host. */
import {
	Carrier, createFailure, Exchange, type ExchangeHandler, type Failure, type Logger, type MetricRegistry, type RequestHead, type ServerRecord,
} from '@limpetbarrow/core';
import {
	createDetector, type Baseline, type Detector, type WorkOutcome,
} from '@limpetbarrow/detect';
import {type AnnouncedServer, type Announcements} from '@limpetbarrow/members';
import {type ReleaseState, type Service} from '@limpetbarrow/releases';
import {BackendServer} from './backend-server.js';

type Guarded = {
	readonly announced: AnnouncedServer;
	readonly backend: BackendServer;
	readonly detector: Detector;
};

type Judgement = {
	readonly isEjected: boolean;
	readonly badness: number;
};

const defaultQueueLimit = 12;
const noBaseline: Baseline = {failureShare: 0.01, slowMs: 1000, requests: 0};

class RefusedExchange extends Exchange {
	override writeBody(_chunk: Uint8Array): void {
		// Refused already.
	}

	override endBody(): void {
		// Refused already.
	}

	override grantCredit(_bytes: number): void {
		// Refused already.
	}

	override cancel(): void {
		// Refused already.
	}
}

/** Refuses an exchange after the current turn. */
export function refuseExchange(handler: ExchangeHandler, failure: Failure): Exchange {
	queueMicrotask(() => {
		handler.handleFailure(failure);
	});
	return new RefusedExchange();
}

/** Runs requests on the backend servers that announced themselves here. */
export class Egress extends Carrier {
	readonly #announcements: Announcements;
	readonly #releases: ReleaseState;
	readonly #metrics: MetricRegistry;
	readonly #logger: Logger;
	readonly #guarded = new Map<string, Guarded>();
	/** Backend servers that are not guarded any more and still run requests. */
	readonly #draining = new Set<BackendServer>();
	readonly #judgements = new Map<string, Judgement>();

	constructor(announcements: Announcements, releases: ReleaseState, metrics: MetricRegistry, logger: Logger) {
		super();
		this.#announcements = announcements;
		this.#releases = releases;
		this.#metrics = metrics;
		this.#logger = logger;
		announcements.store.registerListener(({after}) => {
			this.#update(after.servers);
		});
	}

	override openExchange(head: RequestHead, handler: ExchangeHandler): Exchange {
		const serverId = head.target.kind === 'egress' ? head.target.serverId : '';
		const guarded = this.#guarded.get(serverId);
		if (guarded?.announced.service !== head.service) {
			return refuseExchange(handler, createFailure('serverNotHere', `server ${serverId}`));
		}

		if (guarded.announced.isLeaving) {
			return refuseExchange(handler, createFailure('serverLeaving', `server ${serverId}`));
		}

		this.#metrics.addCount('egress_requests_total');
		return guarded.backend.openExchange(head, handler, this.#findService(head.service)?.queueLimit ?? defaultQueueLimit);
	}

	/** The backend servers as the node publishes them. */
	listServers(): readonly ServerRecord[] {
		return [...this.#guarded.values()].map(({announced}) => this.#createRecord(announced));
	}

	/** Requests running or waiting at all backend servers. */
	countRequests(): number {
		return this.#listBackends().reduce((sum, backend) => sum + backend.countRequests(), 0);
	}

	async close(): Promise<void> {
		await Promise.all(this.#listBackends().map(async backend => backend.close()));
	}

	#listBackends(): readonly BackendServer[] {
		return [...[...this.#guarded.values()].map(({backend}) => backend), ...this.#draining];
	}

	#drain(backend: BackendServer): void {
		this.#draining.add(backend);
		void backend.drain().catch(() => undefined).finally(() => {
			this.#draining.delete(backend);
		});
	}

	#update(servers: ReadonlyMap<string, AnnouncedServer>): void {
		[...servers.values()].forEach(announced => {
			this.#guard(announced);
		});
		[...this.#guarded]
			.filter(([id]) => !servers.has(id))
			.forEach(([id, {backend}]) => {
				this.#guarded.delete(id);
				this.#drain(backend);
			});
	}

	#guard(announced: AnnouncedServer): void {
		const known = this.#guarded.get(announced.id);
		const isSame = known?.announced.address.port === announced.address.port && known.announced.address.host === announced.address.host;
		if (known && isSame) {
			this.#guarded.set(announced.id, {...known, announced});
			known.backend.applyAnnouncement(announced);
			return;
		}

		if (known) {
			this.#drain(known.backend);
		}

		const detector = createDetector(this.#findService(announced.service)?.detection ?? 'cautious');
		const backend = new BackendServer(announced, outcome => {
			this.#recordOutcome(announced.id, outcome);
		});
		this.#guarded.set(announced.id, {announced, backend, detector});
	}

	#recordOutcome(serverId: string, outcome: WorkOutcome): void {
		const guarded = this.#guarded.get(serverId);
		if (!guarded) {
			return;
		}

		const {isFailing, badness} = guarded.detector.recordOutcome(outcome, noBaseline);
		const wasEjected = this.#judgements.get(serverId)?.isEjected ?? false;
		this.#judgements.set(serverId, {isEjected: wasEjected || isFailing, badness});
		if (isFailing && !wasEjected) {
			this.#logger.log('serverEjected', {server: serverId, badness});
			this.#announcements.store.update('eject', snapshot => ({...snapshot, servers: new Map(snapshot.servers)}));
		}
	}

	#createRecord({id, service, slots, generation, isLeaving}: AnnouncedServer): ServerRecord {
		const judgement = this.#judgements.get(id);
		return {
			id, service, slots, generation, state: isLeaving ? 'leaving' : (judgement?.isEjected ? 'ejected' : 'ready'), badness: judgement?.badness ?? 0,
		};
	}

	#findService(name: string): Service | undefined {
		return this.#releases.getConfiguration().services.get(name);
	}
}
