/** A sidecar node: serves the callers and the single backend server of its host, and links to the other nodes. */
import {
	MetricRegistry, type Address, type Carrier, type NodeRecord, type PoisonMark, type RequestTarget,
} from '@limpetbarrow/core';
import {WindowedRetryBudget} from '@limpetbarrow/choose';
import {FleetMarks} from '@limpetbarrow/detect';
import {LinkPool, LinkServer} from '@limpetbarrow/link';
import {
	announcementSweepMs, Announcements, Gossip, MemberTable,
} from '@limpetbarrow/members';
import {ConfigurationWatcher, ReleaseState} from '@limpetbarrow/releases';
import {Right} from 'purify-ts';
import {ControlServer} from './operators/control-server.js';
import {createIdentifier} from './callers/create-identifier.js';
import {ConfigurationKnowledge} from './fleet/configuration-knowledge.js';
import {registerConfigurationMetrics} from './fleet/configuration-metrics.js';
import {ConfigurationProof} from './fleet/configuration-proof.js';
import {HostEgress} from './backend/host-egress.js';
import {Ingress} from './callers/ingress.js';
import {ConfigurationCarrier, PeerConfigurationFetcher} from './fleet/peer-configurations.js';
import {drainNode} from './planned-stop.js';
import {registerProcessGauges, registerInProgressGauges, type InProgressCount} from './operators/process-gauges.js';
import {registerEraUpdates, registerReleaseUpdates} from './fleet/record-updates.js';
import {QuotaExchange} from './callers/quota-exchange.js';
import {RequestRouter} from './routing/request-router.js';
import {ServerDirectory} from './routing/server-directory.js';
import {SidecarCalls} from './operators/sidecar-calls.js';
import {listFleetMarks} from './fleet/list-fleet-marks.js';
import {createSidecarRecord} from './fleet/sidecar-record.js';
import {type SidecarOptions, type StartupState} from './sidecar-options.js';
import {selectResourceLimits} from './sidecar-settings.js';
import {StoreDiscovery} from './fleet/store-discovery.js';
import {TimerDelay} from './timer-delay.js';
import {WatcherRole} from './fleet/watcher-role.js';

/** Announcement periods for which an announcement is valid; a backend server that misses that many in a row is dropped. */
const announcementsPerLease = 6;
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
		const started: {node?: SidecarNode; ownMarks: readonly PoisonMark[]} = {ownMarks: []};
		const fleetMarks = new FleetMarks();
		const announcements = new Announcements(options.logger, options.getSettings().announcementPeriodMs * announcementsPerLease);
		const discovery = new StoreDiscovery({
			store: options.platform.store,
			self: {id, failureDomain, gossipAddress: advertisedGossip},
			handleDepartures(left) {
				announcements.recordLeft(left);
			},
			handleOwnMarks(marks) {
				started.ownMarks = marks;
				started.node?.addEarlierMarks(marks);
			},
			handleNodeMarks(nodes) {
				fleetMarks.recordStored(nodes, Date.now());
			},
			logger: options.logger,
			handlePeers(peers) {
				started.node?.addPeers(peers);
			},
			listLiveIds: () => started.node?.listLiveIds() ?? [],
		});
		const incarnation = await discovery.takeIncarnation();
		const node = new SidecarNode(options, {
			announcements, discovery, incarnation, fleetMarks, ownMarks: started.ownMarks,
		});
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
	readonly #fleetMarks: FleetMarks;
	readonly #table: MemberTable;
	readonly #directory: ServerDirectory;
	readonly #linkPool: LinkPool;
	readonly #linkServer: LinkServer;
	readonly #gossip: Gossip;
	readonly #egress: HostEgress;
	readonly #router: RequestRouter;
	readonly #ingress: Ingress;
	readonly #controlServer: ControlServer;
	readonly #quotas: QuotaExchange;
	readonly #knowledge: ConfigurationKnowledge;
	readonly #configurationProof: ConfigurationProof;
	readonly #configurationWatcher: ConfigurationWatcher;
	readonly #peerConfigurationFetcher: PeerConfigurationFetcher;
	readonly #discovery: StoreDiscovery;
	#sweepTimer: NodeJS.Timeout | undefined;
	#isStopping = false;
	#isTakingWork = true;

	private constructor(options: SidecarOptions, {
		announcements, discovery, incarnation, fleetMarks, ownMarks,
	}: StartupState) {
		const {logger, platform} = options;
		const settings = options.getSettings();
		const limits = selectResourceLimits(settings);
		this.#options = options;
		this.#discovery = discovery;
		registerProcessGauges(this.#metrics);
		this.#table = new MemberTable(createSidecarRecord(settings, incarnation));
		this.#announcements = announcements;
		this.#fleetMarks = fleetMarks;
		this.#directory = new ServerDirectory(this.#table);
		this.#linkPool = new LinkPool(this.#table.self, {logger, metrics: this.#metrics});
		this.#egress = this.#createEgress();
		this.#egress.addEarlierMarks(ownMarks);
		const configurations = new ConfigurationCarrier(this.#releases);
		this.#linkServer = new LinkServer(this.#table.self, target => this.#isForEgress(target) ? this.#egress : configurations, logger, this.#metrics);
		this.#linkServer.setMaxPendingConnections(limits.maxPendingLinks);
		this.#gossip = new Gossip(this.#table, [], {logger, metrics: this.#metrics});
		this.#quotas = new QuotaExchange({
			table: this.#table, state: this.#releases, queries: this.#gossip.queries, metrics: this.#metrics,
		});
		this.#knowledge = new ConfigurationKnowledge({
			table: this.#table, state: this.#releases, gossip: this.#gossip, getWatcher: () => this.#configurationWatcher,
			getProvenRelease: () => this.#configurationProof.freshness.getHighestVersion(),
		});
		this.#router = this.#createRouter();
		this.#ingress = this.#createIngress(this.#router);
		const calls = new SidecarCalls({
			announcements,
			discovery,
			releases: this.#releases,
			metrics: this.#metrics,
			logger,
			getServerAddress: () => options.getSettings().serverAddress,
			isReady: () => !this.#isStopping && this.#releases.getNumber() > 0,
		});
		this.#controlServer = new ControlServer({
			...limits, protocol: platform.control, handleCall: (call, remoteHost) => calls.handleCall(call, remoteHost), metrics: this.#metrics, logger,
		});
		const role = new WatcherRole(this.#table, this.#gossip);
		this.#configurationProof = new ConfigurationProof({
			table: this.#table, state: this.#releases, queries: this.#gossip.queries, role, ...options, metrics: this.#metrics,
		});
		this.#configurationWatcher = new ConfigurationWatcher({
			source: platform.source,
			state: this.#releases,
			logger,
			isSelectedWatcher: () => role.isWatcher(),
			countWatchers: () => role.countWatchers(),
			countLiveNodes: () => this.#table.listLive().length,
			freshness: this.#configurationProof.freshness,
			getFreshnessDuty: () => this.#configurationProof.getDuty(),
		});
		this.#peerConfigurationFetcher = new PeerConfigurationFetcher({
			table: this.#table, state: this.#releases, findEgress: nodeId => this.#findLink(nodeId), isWatching: () => this.#configurationWatcher.isWatching(), readPlatform: () => {
				this.#configurationWatcher.readNow();
			}, getHeardRelease: () => this.#knowledge.getHeardRelease(), getKnowledge: () => this.#knowledge.toLogFields(), logger,
		});
	}

	/** Restores poison marks that the store has told only now, after this node had started without it. */
	addEarlierMarks(marks: readonly PoisonMark[]): void {
		this.#egress.addEarlierMarks(marks);
	}

	/** Adds gossip addresses of other nodes as seeds. */
	addPeers(addresses: readonly Address[]): void {
		this.#gossip.addSeeds(addresses);
	}

	/** Lists the ids of the live nodes, including this one. */
	listLiveIds(): readonly string[] {
		return this.#table.listLive().map(({record}) => record.id);
	}

	/** True while requests with keys may be served; always true unless the settings and the configuration ask for proofs. */
	isConfigurationProven(): boolean {
		return this.#configurationProof.isProven();
	}

	/** Asks for a proof at once, after a request with a key was rejected for want of one. */
	askForProof(): void {
		this.#configurationProof.askForProof();
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
				this.#quotas.startStopping();
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
			countDelivering: () => this.#ingress.countDelivering(),
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
		this.#configurationProof.stop();
		this.#quotas.stop();
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
			store: this.#options.platform.store, state: this.#releases, table: this.#table, getAnswerAgeMs: () => this.#configurationWatcher.getAnswerAgeMs(),
		});
		this.#configurationWatcher.start();
		await Promise.all([
			this.#linkServer.listen(settings.link),
			this.#gossip.start(settings.gossip),
			this.#controlServer.listen('readiness', settings.readiness),
			this.#controlServer.listen('announcements', settings.announcements),
			this.#controlServer.listen('metrics', settings.metrics),
			this.#ingress.listen(settings.ingress),
		]);
		this.#discovery.start();
		this.#peerConfigurationFetcher.start();
		this.#configurationProof.start();
		this.#quotas.start();
		const delay = new TimerDelay(announcementSweepMs, this.#options.logger);
		this.#sweepTimer = setInterval(() => {
			delay.recordRun();
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
			listFleetMarks: () => listFleetMarks(this.#fleetMarks, this.#table),
			recordMarks: marks => {
				this.#discovery.recordMarks(marks);
			},
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
			...createIdentifier(platform.callers, this.#egress, () => this.#checkProof()),
			quotas: this.#quotas,
			getKnowledge: () => this.#knowledge.toLogFields(),
			isOutdated: () => this.#knowledge.isOutdated(),
			limits: selectResourceLimits(getSettings()),
			metrics: this.#metrics,
			logger,
		});
	}

	/** True while keys can be judged; asks for a proof otherwise. */
	#checkProof(): boolean {
		const isProven = this.isConfigurationProven();
		if (!isProven) {
			this.askForProof();
		}

		return isProven;
	}

	/** True for a request that names a backend server; the others are for the node itself. */
	#isForEgress(target: RequestTarget): boolean {
		return target.kind === 'egress' && target.serverId !== '';
	}

	#findLink(nodeId: string): Carrier | undefined {
		const member = this.#table.findMember(nodeId);
		return member && this.#linkPool.getLink({identity: member.record, address: member.record.linkAddress});
	}

	#registerRecordUpdates(): void {
		this.#announcements.store.registerListener(() => {
			this.#table.updateSelf(() => ({servers: this.#listServers(), poison: this.#egress.listPoison()}));
		});
		registerEraUpdates(this.#table, this.#options.platform.store);
		registerReleaseUpdates(this.#table, this.#releases, this.#options.logger, () => this.#knowledge.toLogFields());
	}

	#listServers(): NodeRecord['servers'] {
		const servers = this.#egress.listServers();
		return this.#isTakingWork ? servers : servers.map(server => ({...server, state: 'leaving'}));
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
