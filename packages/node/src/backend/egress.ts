/** The part of a node that sends requests to the backend servers of its own host. */
import {
	Carrier, createFailure, type Exchange, type ExchangeHandler, type Logger, type MetricRegistry, type PoisonMark, type RequestHead, type ServerRecord,
} from '@limpetbarrow/core';
import {HealthMonitor, type PeerSummarySource, type HealthChange} from '@limpetbarrow/detect';
import {type AnnouncedServer, type Announcements} from '@limpetbarrow/members';
import {type ReleaseState, type Service} from '@limpetbarrow/releases';
import {answerExchange, refuseExchange} from '../routing/closed-exchange.js';
import {BackendServer} from './backend-server.js';
import {summariesPath} from './peer-baseline-source.js';
import {Quarantine} from './quarantine.js';
import {reportEndEvidence} from './end-evidence.js';
import {reportExcess} from './report-excess.js';
import {reportMarks} from './report-marks.js';

/** Dependencies of an egress. */
export type EgressOptions = {
	readonly announcements: Announcements;
	readonly releases: ReleaseState;
	readonly baselineSource: PeerSummarySource;
	/** Lists the poison marks that all nodes publish. */
	readonly listFleetMarks: () => readonly PoisonMark[];
	readonly metrics: MetricRegistry;
	readonly logger: Logger;
};

type LocalServer = {
	readonly announcement: AnnouncedServer;
	readonly backend: BackendServer;
};

/** Queue limit of a service that is not configured, in requests for each backend server. */
const defaultQueueLimit = 12;
/** Detection policy of a service that is not configured. */
const defaultPolicy = 'cautious';

/** Runs requests on the backend servers that have announced themselves to this node. */
export class Egress extends Carrier {
	readonly #options: EgressOptions;
	readonly #serverHealth: HealthMonitor;
	readonly #quarantine: Quarantine;
	readonly #localServers = new Map<string, LocalServer>();
	/** Backend servers that were removed or replaced and still run requests. */
	readonly #draining = new Set<BackendServer>();
	/** Backend servers whose health history was reset because a poison request crashed them. */
	#excusedServerIds: ReadonlySet<string> = new Set();

	constructor(options: EgressOptions) {
		super();
		this.#options = options;
		this.#serverHealth = new HealthMonitor(options.baselineSource);
		this.#serverHealth.changes.registerListener(change => {
			this.#handleHealthChange(change);
		});
		this.#quarantine = new Quarantine(options.listFleetMarks);
		this.#quarantine.changes.registerListener(change => {
			reportMarks(options.logger, change);
			this.#publishRecord();
		});
		options.announcements.store.registerListener(({after}) => {
			this.#updateServers(after.servers);
		});
	}

	/**
	 * Runs a request even if this node has ejected the backend server: another node may still choose it in order to keep
	 * its minimum of backend servers in use.
	 */
	override openExchange(head: RequestHead, handler: ExchangeHandler): Exchange {
		const serverId = head.target.kind === 'egress' ? head.target.serverId : '';
		if (serverId === '' && head.path === summariesPath) {
			return answerExchange(handler, this.#serverHealth.listSummaries(head.service));
		}

		const localServer = this.#localServers.get(serverId);
		if (localServer?.announcement.service !== head.service) {
			return refuseExchange(handler, createFailure('serverNotHere', `backend server ${serverId} is not served by this node`));
		}

		if (localServer.announcement.isLeaving) {
			return refuseExchange(handler, createFailure('serverLeaving', `backend server ${serverId} is leaving`));
		}

		this.#options.metrics.addCount('egress_requests_total');
		const queueLimit = this.#findService(head.service)?.queueLimit ?? defaultQueueLimit;
		return this.#quarantine.openExchange(head, handler, localServer.announcement, backendHandler => localServer.backend.openExchange(head, backendHandler, queueLimit));
	}

	/** Records of the backend servers, as published in the node's record. */
	listServers(): readonly ServerRecord[] {
		return [...this.#localServers.values()].map(({announcement}) => this.#createServerRecord(announcement));
	}

	/** Poison marks of requests that crashed backend servers of this node, as published in the node's record. */
	listPoison(): readonly PoisonMark[] {
		return this.#quarantine.listMarks();
	}

	/** Number of requests running or waiting at all backend servers, including those that are draining. */
	countRequests(): number {
		return this.#listBackends().reduce((sum, backend) => sum + backend.countRequests(), 0);
	}

	/** Updates the health of the backend servers and the quarantine; called periodically. */
	sweep(): void {
		this.#serverHealth.sweep();
		this.#quarantine.mergeFleetMarks();
		this.#clearCrashedServerHealth();
	}

	async close(): Promise<void> {
		await Promise.all(this.#listBackends().map(async backend => backend.close()));
	}

	#listBackends(): readonly BackendServer[] {
		return [...[...this.#localServers.values()].map(({backend}) => backend), ...this.#draining];
	}

	#drain(backend: BackendServer): void {
		this.#draining.add(backend);
		void backend.drain().catch(() => undefined).finally(() => {
			this.#draining.delete(backend);
		});
	}

	#updateServers(servers: ReadonlyMap<string, AnnouncedServer>): void {
		[...servers.values()].forEach(announcement => {
			this.#applyAnnouncement(announcement);
		});
		[...this.#localServers]
			.filter(([id]) => !servers.has(id))
			.forEach(([id, {backend}]) => {
				this.#localServers.delete(id);
				this.#serverHealth.removeServer(id);
				this.#drain(backend);
			});
	}

	#applyAnnouncement(announcement: AnnouncedServer): void {
		const existing = this.#localServers.get(announcement.id);
		const hasSameAddress = existing?.announcement.address.port === announcement.address.port && existing.announcement.address.host === announcement.address.host;
		const policy = this.#findService(announcement.service)?.detection ?? defaultPolicy;
		if (!hasSameAddress || this.#serverHealth.findPolicy(announcement.id) !== policy) {
			this.#serverHealth.addServer(announcement.id, announcement.service, policy);
		}

		if (existing && hasSameAddress) {
			this.#localServers.set(announcement.id, {...existing, announcement});
			existing.backend.applyAnnouncement(announcement);
			return;
		}

		if (existing) {
			this.#drain(existing.backend);
		}

		const {logger, metrics} = this.#options;
		const backend = new BackendServer(announcement, {
			recordOutcome: outcome => {
				this.#serverHealth.recordOutcome(announcement.id, outcome);
			},
			reportExcess(excess) {
				reportExcess(logger, metrics, announcement.id, excess);
			},
			reportEnd(requestId, evidence) {
				reportEndEvidence(logger, metrics, announcement.id, {requestId, evidence});
			},
		});
		this.#localServers.set(announcement.id, {announcement, backend});
	}

	#handleHealthChange({serverId, before, after, badness}: HealthChange): void {
		const {logger, metrics} = this.#options;
		if (after === 'ejected') {
			metrics.addCount('egress_ejections_total');
			logger.log('serverEjected', {server: serverId, badness});
		} else if (before === 'probation') {
			logger.log('serverReturned', {server: serverId});
		}

		this.#publishRecord();
	}

	/**
	 * Resets, once, the health history of each backend server that a poison request has crashed: such a crash says nothing
	 * about the server.
	 */
	#clearCrashedServerHealth(): void {
		const crashed = [...this.#localServers.values()].filter(({announcement}) => this.#quarantine.hasCrashed(announcement.id)).map(({announcement}) => announcement);
		crashed.filter(({id}) => !this.#excusedServerIds.has(id)).forEach(({id, service}) => {
			this.#serverHealth.addServer(id, service, this.#findService(service)?.detection ?? defaultPolicy);
			this.#publishRecord();
		});
		this.#excusedServerIds = new Set(crashed.map(({id}) => id));
	}

	/** Updates the announcements' store so that the node publishes its servers and poison marks again. */
	#publishRecord(): void {
		this.#options.announcements.store.update('judge', snapshot => ({...snapshot, servers: new Map(snapshot.servers)}));
	}

	#createServerRecord({id, service, slots, generation, isLeaving}: AnnouncedServer): ServerRecord {
		return {
			id, service, slots, generation, state: isLeaving ? 'leaving' : this.#serverHealth.getState(id), badness: this.#serverHealth.getBadness(id),
		};
	}

	#findService(name: string): Service | undefined {
		return this.#options.releases.getConfiguration().services.get(name);
	}
}
