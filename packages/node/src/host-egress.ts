/** The egress of a host whose one backend server only this node can reach. */
import {
	Carrier, createFailure, type Exchange, type ExchangeHandler, type LoadHint, type Logger, type MetricRegistry, type PoisonMark, type RequestCause, type RequestHead, type ServerRecord,
} from '@limpetbarrow/core';
import {type RetryPolicy} from '@limpetbarrow/choose';
import {type AnnouncedServer, type Announcements} from '@limpetbarrow/members';
import {refuseExchange} from './closed-exchange.js';
import {GatedServer} from './gated-server.js';
import {Quarantine} from './quarantine.js';
import {type ServerProtocol} from './server-protocol.js';

/** What a host's egress works with. */
export type HostEgressOptions = {
	readonly announcements: Announcements;
	readonly protocol: ServerProtocol;
	/** Budget of the retries that one backend server of a service is sent. */
	readonly createRetries: (service: string) => RetryPolicy;
	/** Marks that all nodes publish. */
	readonly listFleetMarks: () => readonly PoisonMark[];
	readonly isStopping: () => boolean;
	readonly metrics: MetricRegistry;
	readonly logger: Logger;
};

type Guarded = {
	readonly announced: AnnouncedServer;
	readonly server: GatedServer;
};

/** Runs requests on the backend servers that announced themselves here. */
export class HostEgress extends Carrier {
	readonly #options: HostEgressOptions;
	readonly #quarantine: Quarantine;
	readonly #guarded = new Map<string, Guarded>();
	/** Backend servers that are not guarded any more and still run requests. */
	readonly #draining = new Set<GatedServer>();

	constructor(options: HostEgressOptions) {
		super();
		this.#options = options;
		this.#quarantine = new Quarantine(options.listFleetMarks);
		this.#quarantine.changes.registerListener(marks => {
			options.logger.log('poisonMarked', {fingerprint: marks.at(-1)?.fingerprint, servers: marks.at(-1)?.serverIds.join(',')});
			this.#publish();
		});
		options.announcements.store.registerListener(({after}) => {
			this.#update(after.servers);
		});
	}

	override openExchange(head: RequestHead, handler: ExchangeHandler): Exchange {
		const serverId = head.target.kind === 'egress' ? head.target.serverId : '';
		const guarded = this.#guarded.get(serverId);
		if (guarded?.announced.service !== head.service) {
			return refuseExchange(handler, createFailure('serverNotHere', `server ${serverId}`));
		}

		if (guarded.announced.isLeaving || this.#options.isStopping()) {
			return refuseExchange(handler, createFailure('serverLeaving', `server ${serverId}`));
		}

		this.#options.metrics.addCount('egress_requests_total');
		return this.#quarantine.openExchange(head, handler, guarded.announced, next => guarded.server.openExchange(head, next));
	}

	/** Load of a backend server of this host as a request of that rank and route would find it. */
	findLoad(serverId: string, priority: number | undefined, route: string | undefined): LoadHint | undefined {
		return this.#guarded.get(serverId)?.server.getLoad(priority, route);
	}

	/** Why a request came that began on this host; undefined for one of a caller. */
	findCause(requestId: string): RequestCause | undefined {
		const parent = this.#listGated().map(server => server.findParent(requestId)).find(head => head !== undefined);
		if (!parent) {
			return undefined;
		}

		return (parent.earlierAttempts ?? 0) > 0 || parent.cause === 'repeatedCall' ? 'repeatedCall' : 'call';
	}

	/** The backend servers as the node publishes them. */
	listServers(): readonly ServerRecord[] {
		return [...this.#guarded.values()].map(({announced}) => toRecord(announced));
	}

	/** Requests that crashed backend servers of this node, as the node publishes them. */
	listPoison(): readonly PoisonMark[] {
		return this.#quarantine.listMarks();
	}

	/** Requests running or waiting at all backend servers. */
	countRequests(): number {
		return this.#listGated().reduce((sum, server) => sum + server.countRequests(), 0);
	}

	sweep(): void {
		this.#quarantine.sweep();
	}

	async close(): Promise<void> {
		await Promise.all(this.#listGated().map(async server => server.close()));
	}

	#listGated(): readonly GatedServer[] {
		return [...[...this.#guarded.values()].map(({server}) => server), ...this.#draining];
	}

	#update(servers: ReadonlyMap<string, AnnouncedServer>): void {
		[...this.#guarded].filter(([id]) => !servers.has(id)).forEach(([id, {server}]) => {
			this.#guarded.delete(id);
			this.#drain(server);
		});
		[...servers.values()].forEach(announced => {
			this.#guard(announced);
		});
	}

	/** A new generation is a new process at the address, which knows and holds nothing of before. */
	#guard(announced: AnnouncedServer): void {
		const known = this.#guarded.get(announced.id);
		if (known?.announced === announced) {
			return;
		}

		if (known?.announced.generation === announced.generation) {
			this.#guarded.set(announced.id, {...known, announced});
			known.server.applyAnnouncement(announced);
			return;
		}

		if (known) {
			this.#drain(known.server);
		}

		this.#guarded.set(announced.id, {announced, server: this.#createServer(announced)});
	}

	#createServer({id, ...announced}: AnnouncedServer): GatedServer {
		const {logger, metrics, protocol, announcements, createRetries} = this.#options;
		return new GatedServer({id, ...announced}, {
			protocol,
			retries: createRetries(announced.service),
			handleReplaced() {
				logger.log('serverReplaced', {server: id});
				announcements.removeServer(id);
			},
			reportHealth(isUnwell, sickness) {
				metrics.addCount(isUnwell ? 'egress_ejections_total' : 'egress_returns_total');
				logger.log(isUnwell ? 'serverEjected' : 'serverReturned', {server: id, sickness: sickness.toFixed(3)});
			},
			reportShedding(isShedding) {
				logger.log('sheddingChanged', {server: id, isShedding});
			},
			reportRun({requestId, route, isRepeatable}, {outcome, ms, sickness}) {
				logger.log(outcome === 'answered' ? 'serverRan' : 'serverRanBadly', {
					request: requestId, server: id, route, isRepeatable, outcome, ms, sickness: sickness.toFixed(3),
				});
			},
			reportFailure(head, failure) {
				metrics.addCount('egress_failures_total', 1, {code: String(failure.code)});
				logger.log('egressFailed', {
					request: head.requestId, server: id, code: failure.code, detail: failure.detail, route: head.route,
				});
			},
		});
	}

	#drain(server: GatedServer): void {
		this.#draining.add(server);
		void server.drain().catch((error: unknown) => {
			this.#options.logger.log('unexpectedError', {detail: String(error)});
		}).finally(() => {
			this.#draining.delete(server);
		});
	}

	/** Makes the node publish its servers and marks again. */
	#publish(): void {
		this.#options.announcements.store.update('publish', snapshot => ({...snapshot, servers: new Map(snapshot.servers)}));
	}
}

/** A cold start is told by the load on answers, which is newer than a record can be. */
function toRecord({id, service, slots, generation, isLeaving}: AnnouncedServer): ServerRecord {
	return {
		id, service, slots, generation, state: isLeaving ? 'leaving' : 'ready', badness: 0,
	};
}
