/** The part of a node that stands before the backend servers of its own host. */
import {
	Carrier, createFailure, type Exchange, type ExchangeHandler, type Logger, type MetricRegistry, type PoisonMark, type RequestHead, type ServerRecord,
} from '@limpetbarrow/core';
import {HealthMonitor, type PeerSummarySource, type HealthChange} from '@limpetbarrow/detect';
import {type AnnouncedServer, type Announcements} from '@limpetbarrow/members';
import {type ReleaseState, type Service} from '@limpetbarrow/releases';
import {BackendServer} from './backend-server.js';
import {answerExchange, refuseExchange} from './closed-exchange.js';
import {summariesPath} from './peer-baseline-source.js';
import {Quarantine} from './quarantine.js';

/** What an egress works with. */
export type EgressOptions = {
	readonly announcements: Announcements;
	readonly releases: ReleaseState;
	readonly baselineSource: PeerSummarySource;
	/** Marks that all nodes publish. */
	readonly listFleetMarks: () => readonly PoisonMark[];
	readonly metrics: MetricRegistry;
	readonly logger: Logger;
};

type Guarded = {
	readonly announced: AnnouncedServer;
	readonly backend: BackendServer;
};

const defaultQueueLimit = 12;
const defaultPolicy = 'cautious';

/** Runs requests on the backend servers that announced themselves here. */
export class Egress extends Carrier {
	readonly #options: EgressOptions;
	readonly #judge: HealthMonitor;
	readonly #quarantine: Quarantine;
	readonly #guarded = new Map<string, Guarded>();
	/** Backend servers that are not guarded any more and still run requests. */
	readonly #draining = new Set<BackendServer>();
	/** Servers whose crashes were excused. */
	#excused: ReadonlySet<string> = new Set();

	constructor(options: EgressOptions) {
		super();
		this.#options = options;
		this.#judge = new HealthMonitor(options.baselineSource);
		this.#judge.changes.registerListener(change => {
			this.#handleChange(change);
		});
		this.#quarantine = new Quarantine(options.listFleetMarks);
		this.#quarantine.changes.registerListener(marks => {
			options.logger.log('poisonMarked', {fingerprint: marks.at(-1)?.fingerprint, servers: marks.at(-1)?.serverIds.join(',')});
			this.#publish();
		});
		options.announcements.store.registerListener(({after}) => {
			this.#update(after.servers);
		});
	}

	/** Runs a request, whatever this node thinks of the backend server: the floor of another node's view may need it. */
	override openExchange(head: RequestHead, handler: ExchangeHandler): Exchange {
		const serverId = head.target.kind === 'egress' ? head.target.serverId : '';
		if (serverId === '' && head.path === summariesPath) {
			return answerExchange(handler, this.#judge.listSummaries(head.service));
		}

		const guarded = this.#guarded.get(serverId);
		if (guarded?.announced.service !== head.service) {
			return refuseExchange(handler, createFailure('serverNotHere', `server ${serverId}`));
		}

		if (guarded.announced.isLeaving) {
			return refuseExchange(handler, createFailure('serverLeaving', `server ${serverId}`));
		}

		this.#options.metrics.addCount('egress_requests_total');
		const queueLimit = this.#findService(head.service)?.queueLimit ?? defaultQueueLimit;
		return this.#quarantine.openExchange(head, handler, guarded.announced, next => guarded.backend.openExchange(head, next, queueLimit));
	}

	/** The backend servers as the node publishes them. */
	listServers(): readonly ServerRecord[] {
		return [...this.#guarded.values()].map(({announced}) => this.#createRecord(announced));
	}

	/** Requests that crashed backend servers of this node, as the node publishes them. */
	listPoison(): readonly PoisonMark[] {
		return this.#quarantine.listMarks();
	}

	/** Requests running or waiting at all backend servers. */
	countRequests(): number {
		return this.#listBackends().reduce((sum, backend) => sum + backend.countRequests(), 0);
	}

	/** Moves the judgement of the backend servers on with time. */
	sweep(): void {
		this.#judge.sweep();
		this.#quarantine.sweep();
		this.#forgetCrashes();
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
				this.#judge.removeServer(id);
				this.#drain(backend);
			});
	}

	#guard(announced: AnnouncedServer): void {
		const known = this.#guarded.get(announced.id);
		const isSame = known?.announced.address.port === announced.address.port && known.announced.address.host === announced.address.host;
		const policy = this.#findService(announced.service)?.detection ?? defaultPolicy;
		if (!isSame || this.#judge.findPolicy(announced.id) !== policy) {
			this.#judge.addServer(announced.id, announced.service, policy);
		}

		if (known && isSame) {
			this.#guarded.set(announced.id, {...known, announced});
			known.backend.applyAnnouncement(announced);
			return;
		}

		if (known) {
			this.#drain(known.backend);
		}

		const backend = new BackendServer(announced, outcome => {
			this.#judge.recordOutcome(announced.id, outcome);
		});
		this.#guarded.set(announced.id, {announced, backend});
	}

	#handleChange({serverId, before, after, badness}: HealthChange): void {
		const {logger, metrics} = this.#options;
		if (after === 'ejected') {
			metrics.addCount('egress_ejections_total');
			logger.log('serverEjected', {server: serverId, badness});
		} else if (before === 'probation') {
			logger.log('serverReturned', {server: serverId});
		}

		this.#publish();
	}

	/** Judges servers anew that a poison request has crashed: the crash says nothing about them. */
	#forgetCrashes(): void {
		const crashed = [...this.#guarded.values()].filter(({announced}) => this.#quarantine.hasCrashed(announced.id)).map(({announced}) => announced);
		crashed.filter(({id}) => !this.#excused.has(id)).forEach(({id, service}) => {
			this.#judge.addServer(id, service, this.#findService(service)?.detection ?? defaultPolicy);
			this.#publish();
		});
		this.#excused = new Set(crashed.map(({id}) => id));
	}

	/** Makes the node publish its servers and marks again. */
	#publish(): void {
		this.#options.announcements.store.update('judge', snapshot => ({...snapshot, servers: new Map(snapshot.servers)}));
	}

	#createRecord({id, service, slots, generation, isLeaving}: AnnouncedServer): ServerRecord {
		return {
			id, service, slots, generation, state: isLeaving ? 'leaving' : this.#judge.getState(id), badness: this.#judge.getBadness(id),
		};
	}

	#findService(name: string): Service | undefined {
		return this.#options.releases.getConfiguration().services.get(name);
	}
}
