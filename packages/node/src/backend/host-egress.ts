/** Egress of a host whose single backend server is reachable only through this node. */
import {
	Carrier, createFailure, type Exchange, type ExchangeHandler, type LoadHint, type Logger, type MetricRegistry, type PoisonMark, type RequestCause, type RequestHead, type ServerRecord,
} from '@limpetbarrow/core';
import {type RetryPolicy} from '@limpetbarrow/choose';
import {type AnnouncedServer, type Announcements} from '@limpetbarrow/members';
import {refuseExchange} from '../routing/closed-exchange.js';
import {reportEndEvidence} from './end-evidence.js';
import {reportExcess} from './report-excess.js';
import {reportMarks} from './report-marks.js';
import {type LoadedHead} from './gated-requests.js';
import {GatedServer} from './gated-server.js';
import {Quarantine} from './quarantine.js';
import {type ServerProtocol} from './server-protocol.js';

/** Dependencies of a host's egress. */
export type HostEgressOptions = {
	readonly announcements: Announcements;
	readonly protocol: ServerProtocol;
	/** Creates the budget for retries to one backend server of a service. */
	readonly createRetries: (service: string) => RetryPolicy;
	/** Lists the poison marks of all nodes. */
	readonly listFleetMarks: () => readonly PoisonMark[];
	/** Called with the node's own poison marks when they have changed, to keep them for its later processes. */
	readonly recordMarks?: (marks: readonly PoisonMark[]) => void;
	/** False once the node takes no more work for its backend server, because it stops. */
	readonly isTakingWork: () => boolean;
	readonly metrics: MetricRegistry;
	readonly logger: Logger;
};

type LocalServer = {
	readonly announcement: AnnouncedServer;
	readonly server: GatedServer;
};

/** Runs requests on the backend servers that have announced themselves to this node. */
export class HostEgress extends Carrier {
	readonly #options: HostEgressOptions;
	readonly #quarantine: Quarantine;
	readonly #localServers = new Map<string, LocalServer>();
	/** Backend servers that were removed or replaced and still run requests. */
	readonly #draining = new Set<GatedServer>();

	constructor(options: HostEgressOptions) {
		super();
		this.#options = options;
		this.#quarantine = new Quarantine(options.listFleetMarks);
		this.#quarantine.changes.registerListener(change => {
			reportMarks(options.logger, change);
			this.#publishRecord();
			options.recordMarks?.(change.marks);
		});
		options.announcements.store.registerListener(({after}) => {
			this.#updateServers(after.servers);
		});
	}

	override openExchange(head: RequestHead, handler: ExchangeHandler): Exchange {
		const serverId = head.target.kind === 'egress' ? head.target.serverId : '';
		const localServer = this.#localServers.get(serverId);
		if (localServer?.announcement.service !== head.service) {
			return refuseExchange(handler, createFailure('serverNotHere', `backend server ${serverId} is not served by this node`));
		}

		if (localServer.announcement.isLeaving || !this.#options.isTakingWork()) {
			return refuseExchange(handler, createFailure('serverLeaving', `backend server ${serverId} or its node is leaving`));
		}

		this.#options.metrics.addCount('egress_requests_total');
		const {id, generation, address} = localServer.announcement;
		// A backend server may start again under its id; each of its runs that crashes counts.
		return this.#quarantine.openExchange(head, handler, {id: `${id}@${generation}`, address}, backendHandler => localServer.server.openExchange(head, backendHandler));
	}

	/** Load that such a request would meet at a backend server of this host. */
	findLoad(serverId: string, head: LoadedHead): LoadHint | undefined {
		return this.#localServers.get(serverId)?.server.getLoad(head);
	}

	/** Finds the running request that caused a call of this host's backend server; undefined for a request of a caller. */
	findParentRequest(requestId: string): RequestHead | undefined {
		return this.#listAllServers().map(server => server.calls.findParentRequest(requestId)).find(head => head !== undefined);
	}

	/** True for a call whose parent has ended a short time ago. */
	isCallOfEnded(requestId: string): boolean {
		return this.#listAllServers().some(server => server.calls.isCallOfEnded(requestId));
	}

	/** Finds why the backend server of this host sent a request; undefined for a request of a caller. */
	findRequestCause(requestId: string): RequestCause | undefined {
		const parent = this.findParentRequest(requestId);
		if (!parent) {
			return undefined;
		}

		return (parent.earlierAttempts ?? 0) > 0 || parent.cause === 'repeatedCall' ? 'repeatedCall' : 'call';
	}

	/** Records that the backend server of this host began a call for a request that it runs. */
	recordCallStart(callId: string): void {
		this.#listAllServers().forEach(server => {
			server.calls.recordStart(callId);
		});
	}

	/** Records that such a call ended; `isServed` is false if it failed or was given up. */
	recordCallEnd(callId: string, isServed: boolean): void {
		this.#listAllServers().forEach(server => {
			server.calls.recordEnd(callId, isServed);
		});
	}

	/** Records of the backend servers, as published in the node's record. */
	listServers(): readonly ServerRecord[] {
		return [...this.#localServers.values()].map(({announcement}) => toServerRecord(announcement));
	}

	/** Poison marks of requests that crashed backend servers of this node, as published in the node's record. */
	listPoison(): readonly PoisonMark[] {
		return this.#quarantine.listMarks();
	}

	/** Restores poison marks that an earlier process of this node has stored. */
	addEarlierMarks(marks: readonly PoisonMark[]): void {
		this.#quarantine.addEarlierMarks(marks);
	}

	/** Number of requests running or waiting at all backend servers, including those that are draining. */
	countRequests(): number {
		return this.#listAllServers().reduce((sum, server) => sum + server.countRequests(), 0);
	}

	/** Updates the quarantine with the other nodes' marks; called periodically. */
	sweep(): void {
		this.#quarantine.mergeFleetMarks();
	}

	async close(): Promise<void> {
		await Promise.all(this.#listAllServers().map(async server => server.close()));
	}

	#listAllServers(): readonly GatedServer[] {
		return [...[...this.#localServers.values()].map(({server}) => server), ...this.#draining];
	}

	#updateServers(servers: ReadonlyMap<string, AnnouncedServer>): void {
		[...this.#localServers].filter(([id]) => !servers.has(id)).forEach(([id, {server}]) => {
			this.#localServers.delete(id);
			this.#drain(server);
		});
		[...servers.values()].forEach(announcement => {
			this.#applyAnnouncement(announcement);
		});
	}

	/** A new generation is a new process at the address without any state of the old one, so it gets a new gated server. */
	#applyAnnouncement(announcement: AnnouncedServer): void {
		const existing = this.#localServers.get(announcement.id);
		if (existing?.announcement === announcement) {
			return;
		}

		if (existing?.announcement.generation === announcement.generation) {
			this.#localServers.set(announcement.id, {...existing, announcement});
			existing.server.applyAnnouncement(announcement);
			return;
		}

		if (existing) {
			this.#drain(existing.server);
		}

		this.#localServers.set(announcement.id, {announcement, server: this.#createGatedServer(announcement)});
	}

	#createGatedServer({id, ...announcement}: AnnouncedServer): GatedServer {
		const {logger, metrics, protocol, announcements, createRetries} = this.#options;
		return new GatedServer({id, ...announcement}, {
			protocol,
			retries: createRetries(announcement.service),
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
			reportExchange({requestId, route, isRepeatable}, {kind: outcome, durationMs}, {sickness, isEarly}) {
				metrics.addCount('egress_early_starts_total', Number(isEarly));
				logger.log(outcome === 'answered' ? 'serverRan' : 'serverRanBadly', {
					request: requestId, server: id, route, isRepeatable, outcome, ms: Math.round(durationMs), sickness: sickness.toFixed(3), ...(isEarly && {isEarly}),
				});
			},
			handleLeaving: () => {
				this.#recordLeaving(id, announcement.generation);
			},
			reportLimit({perSecond}) {
				logger.log('serverLimitChanged', {server: id, ...(perSecond !== undefined && {limit: perSecond})});
			},
			reportExcess(excess) {
				reportExcess(logger, metrics, id, excess);
			},
			reportEnd(requestId, evidence) {
				reportEndEvidence(logger, metrics, id, {requestId, evidence});
			},
			reportFailure(head, failure) {
				metrics.addCount('egress_failures_total', 1, {code: String(failure.code)});
				logger.log('egressFailed', {
					request: head.requestId, server: id, code: failure.code, detail: failure.detail, route: head.route, priority: head.priority, isLastResort: head.isLastResort,
				});
			},
		});
	}

	/** Marks a run of a backend server as leaving, as its own announcement would. */
	#recordLeaving(id: string, generation: number): void {
		const known = this.#localServers.get(id)?.announcement;
		if (known?.generation === generation && !known.isLeaving) {
			this.#options.announcements.recordLeft(new Map([[id, generation]]));
		}
	}

	#drain(server: GatedServer): void {
		this.#draining.add(server);
		void server.drain().catch((error: unknown) => {
			this.#options.logger.log('unexpectedError', {detail: String(error)});
		}).finally(() => {
			this.#draining.delete(server);
		});
	}

	/** Updates the announcements' store so that the node publishes its servers and poison marks again. */
	#publishRecord(): void {
		this.#options.announcements.store.update('publish', snapshot => ({...snapshot, servers: new Map(snapshot.servers)}));
	}
}

/** The record does not show a cold start: the load sent with responses does, and it is newer than a record can be. */
function toServerRecord({id, service, slots, generation, isLeaving}: AnnouncedServer): ServerRecord {
	return {
		id, service, slots, generation, state: isLeaving ? 'leaving' : 'ready', badness: 0,
	};
}
