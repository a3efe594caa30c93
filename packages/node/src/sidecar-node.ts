/** A sidecar node: serves the callers and the single backend server of its host, and links to the other nodes. */
import {
	MetricRegistry, type Address, type Carrier, type Failure, type Logger, type NodeRecord, type RequestTarget,
} from '@limpetbarrow/core';
import {WindowedRetryBudget} from '@limpetbarrow/choose';
import {LinkPool, LinkServer} from '@limpetbarrow/link';
import {
	announcementSweepMs, Announcements, Gossip, MemberTable, type AnnouncedServer, type LeftServers,
} from '@limpetbarrow/members';
import {type ObjectStore} from '@limpetbarrow/object-store';
import {ConfigurationWatcher, ReleaseState, type ConfigurationSource} from '@limpetbarrow/releases';
import {EitherAsync, Right, type Either} from 'purify-ts';
import {
	ControlServer, type ControlAnswer, type ControlCall, type ControlProtocol,
} from './control-server.js';
import {registerConfigurationMetrics} from './configuration-metrics.js';
import {HostEgress} from './host-egress.js';
import {type CallerProtocol} from './ingress-request.js';
import {Ingress} from './ingress.js';
import {ConfigurationCarrier, PeerConfigurationFetcher} from './peer-configurations.js';
import {drainNode} from './planned-stop.js';
import {registerProcessGauges, registerInProgressGauges, type InProgressCount} from './process-gauges.js';
import {RequestRouter} from './request-router.js';
import {ServerDirectory} from './server-directory.js';
import {type ServerProtocol} from './server-protocol.js';
import {acceptHostAnnouncement} from './host-announcement.js';
import {createSidecarRecord} from './sidecar-record.js';
import {type SidecarSettings} from './sidecar-settings.js';
import {StoreDiscovery} from './store-discovery.js';
import {WatcherRole} from './watcher-role.js';

/** Protocols and stores of the platform that a sidecar runs on. */
export type SidecarPlatform = {
	readonly store: ObjectStore;
	readonly source: ConfigurationSource;
	readonly callers: CallerProtocol;
	readonly servers: ServerProtocol;
	readonly control: ControlProtocol;
};

/** Dependencies of a sidecar node. */
export type SidecarOptions = {
	/** The settings in force; they may change while the node runs. */
	readonly getSettings: () => SidecarSettings;
	readonly platform: SidecarPlatform;
	readonly logger: Logger;
};

/** Components that are created before the node itself, and the incarnation of its process. */
type StartupState = {
	readonly announcements: Announcements;
	readonly discovery: StoreDiscovery;
	readonly incarnation: number;
};

/** Announcement periods for which an announcement is valid; a backend server that misses that many in a row is dropped. */
const announcementsPerLease = 6;
/** Largest number of log lines about entries of one configuration that can't be read. */
const maxSkippedLogLines = 20;
/** Share of the configured retry ratio and allowance that is used; the rest is room for requests that are counted late. */
const usedRetryShare = 0.85;

/** Creates the components of one sidecar node, connects them, and starts and stops them. */
export class SidecarNode {
	/**
	 * Chooses the incarnation of this process, listens on all addresses, and starts discovery of the other nodes and of the
	 * configuration. Rejects if an address can't be bound.
	 */
	static async start(options: SidecarOptions): Promise<SidecarNode> {
		const {
			id, failureDomain, gossip, advertisedGossip = gossip,
		} = options.getSettings();
		const started: {node?: SidecarNode} = {};
		const announcements = new Announcements(options.logger, options.getSettings().announcementPeriodMs * announcementsPerLease);
		const discovery = new StoreDiscovery({
			store: options.platform.store,
			self: {id, failureDomain, gossipAddress: advertisedGossip},
			handleDepartures(left) {
				announcements.recordLeft(left);
			},
			logger: options.logger,
			handlePeers(peers) {
				started.node?.addPeers(peers);
			},
			listLiveIds: () => started.node?.listLiveIds() ?? [],
		});
		const node = new SidecarNode(options, {announcements, discovery, incarnation: await discovery.takeIncarnation()});
		started.node = node;
		try {
			await node.#start();
		} catch (error) {
			await node.close();
			throw error;
		}

		return node;
	}

	readonly #options: SidecarOptions;
	readonly #metrics = new MetricRegistry();
	readonly #releases = new ReleaseState();
	readonly #announcements: Announcements;
	readonly #table: MemberTable;
	readonly #directory: ServerDirectory;
	readonly #linkPool: LinkPool;
	readonly #linkServer: LinkServer;
	readonly #gossip: Gossip;
	readonly #egress: HostEgress;
	readonly #router: RequestRouter;
	readonly #ingress: Ingress;
	readonly #controlServer: ControlServer;
	readonly #configurationWatcher: ConfigurationWatcher;
	readonly #peerConfigurationFetcher: PeerConfigurationFetcher;
	readonly #discovery: StoreDiscovery;
	#sweepTimer: NodeJS.Timeout | undefined;
	#isStopping = false;
	#isTakingWork = true;

	private constructor(options: SidecarOptions, {announcements, discovery, incarnation}: StartupState) {
		const {logger, platform} = options;
		const settings = options.getSettings();
		this.#options = options;
		this.#discovery = discovery;
		registerProcessGauges(this.#metrics);
		this.#table = new MemberTable(createSidecarRecord(settings, incarnation));
		this.#announcements = announcements;
		this.#directory = new ServerDirectory(this.#table);
		this.#linkPool = new LinkPool(this.#table.self, {logger, metrics: this.#metrics});
		this.#egress = this.#createEgress();
		const configurations = new ConfigurationCarrier(this.#releases);
		this.#linkServer = new LinkServer(this.#table.self, target => this.#selectCarrier(target, configurations), logger, this.#metrics);
		this.#gossip = new Gossip(this.#table, [], {logger, metrics: this.#metrics});
		this.#router = this.#createRouter();
		this.#ingress = this.#createIngress(this.#router);
		this.#controlServer = new ControlServer(platform.control, (call, remoteHost) => this.#handleCall(call, remoteHost));
		const role = new WatcherRole(this.#table, this.#gossip);
		this.#configurationWatcher = new ConfigurationWatcher({
			source: platform.source,
			state: this.#releases,
			logger,
			isSelectedWatcher: () => role.isWatcher(),
			countWatchers: () => role.countWatchers(),
			countLiveNodes: () => this.#table.listLive().length,
		});
		this.#peerConfigurationFetcher = new PeerConfigurationFetcher({
			table: this.#table, state: this.#releases, findEgress: nodeId => this.#findLink(nodeId), isWatching: () => this.#configurationWatcher.isWatching(), readPlatform: () => {
				this.#configurationWatcher.readNow();
			}, logger,
		});
	}

	/** Adds gossip addresses of other nodes as seeds. */
	addPeers(addresses: readonly Address[]): void {
		this.#gossip.addSeeds(addresses);
	}

	/** Lists the ids of the live nodes, including this one. */
	listLiveIds(): readonly string[] {
		return this.#table.listLive().map(({record}) => record.id);
	}

	/**
	 * Performs a planned stop: announces it, stops listening, and waits for requests in progress. Takes at most the stop
	 * timeout of the settings.
	 */
	async stop(): Promise<void> {
		const {logger, getSettings} = this.#options;
		logger.log('nodeStopping', {requests: this.#countInProgress()});
		await drainNode({
			startStopping: lastAnswerAt => {
				this.#isStopping = true;
				this.#ingress.startStopping();
				this.#router.startStopping(lastAnswerAt);
				this.#table.updateSelf(() => ({state: 'stopping'}));
			},
			stopTakingWork: () => {
				this.#isTakingWork = false;
				this.#table.updateSelf(() => ({servers: this.#listServers()}));
			},
			countServers: () => 0,
			countConnections: () => this.#ingress.countConnections(),
			stopListening: () => {
				this.#ingress.stopListening();
			},
			countRequestsInProgress: () => this.#countInProgress(),
			failRequests: () => {
				logger.log('nodeStopForced', {requests: this.#countInProgress()});
				this.#router.failRequests();
			},
		}, getSettings());
		await this.close();
		logger.log('nodeStopped');
	}

	/** Closes all connections at once, without waiting for requests in progress. */
	async close(): Promise<void> {
		clearInterval(this.#sweepTimer);
		this.#configurationWatcher.stop();
		this.#peerConfigurationFetcher.stop();
		this.#discovery.stop();
		this.#gossip.stop();
		this.#ingress.close();
		this.#controlServer.close();
		this.#linkPool.close();
		await this.#linkServer.close();
		await this.#egress.close();
	}

	async #start(): Promise<void> {
		const settings = this.#options.getSettings();
		this.#registerRecordUpdates();
		registerInProgressGauges(this.#metrics, this.#listInProgressCounts());
		registerConfigurationMetrics(this.#metrics, {
			store: this.#options.platform.store, state: this.#releases, getAnswerAgeMs: () => this.#configurationWatcher.getAnswerAgeMs(),
		});
		this.#configurationWatcher.start();
		await Promise.all([
			this.#linkServer.listen(settings.link),
			this.#gossip.start(settings.gossip),
			this.#controlServer.listen(settings.readiness),
			this.#controlServer.listen(settings.announcements),
			this.#controlServer.listen(settings.metrics),
			this.#ingress.listen(settings.ingress),
		]);
		this.#discovery.start();
		this.#peerConfigurationFetcher.start();
		this.#sweepTimer = setInterval(() => {
			this.#announcements.sweep();
			this.#egress.sweep();
			this.#discovery.applyHeardEra(Math.max(0, ...this.#table.listLive().map(({record: {storeEra = 0}}) => storeEra)));
		}, announcementSweepMs);
		this.#options.logger.log('nodeStarted', {incarnation: this.#table.self.incarnation, service: settings.service});
	}

	#createEgress(): HostEgress {
		return new HostEgress({
			announcements: this.#announcements,
			protocol: this.#options.platform.servers,
			listFleetMarks: () => this.#table.listLive().flatMap(({record}) => record.poison),
			createRetries: service => this.#createRetries(service),
			isTakingWork: () => this.#isTakingWork,
			metrics: this.#metrics,
			logger: this.#options.logger,
		});
	}

	/** Every retry goes to a single backend server, so the shares of a service's backend servers add up to its budget. */
	#createRetries(service: string): WindowedRetryBudget {
		const {retryWindowMs, retryRatio, retryAllowance} = this.#options.getSettings();
		const window = {windowMs: retryWindowMs, ratio: retryRatio * usedRetryShare, allowance: retryAllowance * usedRetryShare};
		return new WindowedRetryBudget(window, () => this.#directory.listCandidates(service).length);
	}

	#createRouter(): RequestRouter {
		const {logger} = this.#options;
		const table = this.#table;
		const self = {id: table.self.id, placement: table.getSelf().placement};
		return new RequestRouter({
			self,
			directory: this.#directory,
			findEgress: nodeId => nodeId === self.id ? this.#egress : this.#findLink(nodeId),
			findLocalLoad: (serverId, head) => this.#egress.findLoad(serverId, head),
			recordCallStart: requestId => {
				this.#egress.recordCallStart(requestId);
			},
			recordCallEnd: (requestId, isServed) => {
				this.#egress.recordCallEnd(requestId, isServed);
			},
			findLimit: head => this.#options.platform.servers.findLimit(head),
			isLeaving: head => this.#options.platform.servers.isLeaving(head),
			countNodes: () => table.listLive().length,
			metrics: this.#metrics,
			logger,
		});
	}

	#createIngress(router: Carrier): Ingress {
		const {platform, logger, getSettings} = this.#options;
		return new Ingress({
			releases: this.#releases,
			admitRequest: () => Right(undefined),
			selectCarrier: () => Right(router),
			handleReserved(_message, response) {
				response.writeHead(404);
				response.end();
			},
			protocol: platform.callers,
			getCallerService: () => getSettings().service,
			findCause: requestId => this.#egress.findRequestCause(requestId),
			metrics: this.#metrics,
			logger,
		});
	}

	/** Selects the egress, or the configuration carrier: requests that name no backend server are for the node itself. */
	#selectCarrier(target: RequestTarget, configurations: Carrier): Carrier {
		return target.kind === 'egress' && target.serverId !== '' ? this.#egress : configurations;
	}

	#findLink(nodeId: string): Carrier | undefined {
		const member = this.#table.findMember(nodeId);
		return member && this.#linkPool.getLink({identity: member.record, address: member.record.linkAddress});
	}

	#registerRecordUpdates(): void {
		this.#announcements.store.registerListener(() => {
			this.#table.updateSelf(() => ({servers: this.#listServers(), poison: this.#egress.listPoison()}));
		});
		const {store} = this.#options.platform;
		const publishEra = (era: number): void => {
			this.#table.updateSelf(() => ({storeEra: era}));
		};

		store.eraChanges.registerListener(({era}) => {
			publishEra(era);
		});
		const era = store.getEra();
		if (era !== undefined) {
			publishEra(era);
		}

		this.#releases.store.registerListener(({before, after}) => {
			const {release, routes, skipped = []} = after.configuration;
			this.#options.logger.log('releaseInForce', {
				release, previous: before.configuration.release, routes: routes.size, source: after.source ?? '',
			});
			skipped.slice(0, maxSkippedLogLines).forEach(detail => {
				this.#options.logger.log('releasePartSkipped', {release, detail});
			});
			this.#table.updateSelf(() => ({release: after.configuration.release}));
		});
	}

	#listServers(): NodeRecord['servers'] {
		const servers = this.#egress.listServers();
		return this.#isTakingWork ? servers : servers.map(server => ({...server, state: 'leaving'}));
	}

	#handleCall(call: ControlCall, remoteHost: string): EitherAsync<Failure, ControlAnswer> {
		switch (call.kind) {
			case 'announce': {
				return EitherAsync.liftEither(this.#acceptAnnouncement(call.announcement, remoteHost))
					.chain(({id, generation, isLeaving}) => isLeaving ? this.#recordDepartures(new Map([[id, generation]])) : EitherAsync.liftEither(Right(undefined)))
					.map(() => createJsonAnswer(200));
			}

			case 'leave': {
				return this.#recordDepartures(this.#announcements.leave(call.serverId, call.generation)).map(() => createJsonAnswer(200));
			}

			case 'readiness': {
				return EitherAsync.liftEither(Right(createJsonAnswer(!this.#isStopping && this.#releases.getNumber() > 0 ? 200 : 503)));
			}

			case 'metrics': {
				return EitherAsync.liftEither(Right({status: 200, contentType: 'text/plain; version=0.0.4', body: this.#metrics.formatReport()}));
			}
		}
	}

	/**
	 * Stores that backend servers have left. They stop receiving new requests before this call; the departure is acknowledged
	 * only once it is stored, so that the next process of this node honours it as well.
	 */
	#recordDepartures(left: LeftServers): EitherAsync<Failure, void> {
		const {logger} = this.#options;
		const servers = [...left].map(([id, generation]) => `${id}@${generation}`).join(',');
		return this.#discovery.recordDepartures(left).ifRight(() => {
			logger.log('leaveKept', {servers});
		}).ifLeft(({code, detail}) => {
			logger.log('leaveNotKept', {servers, code, detail});
		});
	}

	#acceptAnnouncement(input: unknown, remoteHost: string): Either<Failure, AnnouncedServer> {
		const {serverAddress} = this.#options.getSettings();
		const {services} = this.#releases.getConfiguration();
		return acceptHostAnnouncement(this.#announcements, input, {serverAddress, remoteHost, services}).ifLeft(failure => {
			this.#options.logger.log('announcementRefused', {code: failure.code, detail: failure.detail});
		});
	}

	#listInProgressCounts(): readonly InProgressCount[] {
		return [
			{name: 'ingress_requests', count: () => this.#ingress.countRequests()},
			{name: 'egress_requests', count: () => this.#egress.countRequests()},
			{name: 'link_exchanges_served', count: () => this.#linkServer.countExchanges()},
			{name: 'link_exchanges_opened', count: () => this.#linkPool.countExchanges()},
		];
	}

	#countInProgress(): number {
		return this.#listInProgressCounts().reduce((sum, {count}) => sum + count(), 0);
	}
}

function createJsonAnswer(status: number): ControlAnswer {
	return {status, contentType: 'application/json', body: '{}'};
}
