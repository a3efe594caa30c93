/** A sidecar node: callers and one backend server on the same host, other nodes beyond, all in one process. */
import {
	MetricRegistry, type Address, type Carrier, type Failure, type Logger, type NodeRecord, type RequestTarget,
} from '@limpetbarrow/core';
import {WindowedRetries} from '@limpetbarrow/choose';
import {LinkPool, LinkServer} from '@limpetbarrow/link';
import {
	announcementSweepMs, Announcements, Gossip, MemberTable, type AnnouncedServer, type LeftServers,
} from '@limpetbarrow/members';
import {type ObjectStore} from '@limpetbarrow/object-store';
import {
	ConfigurationWatcher, ReleaseState, selectWatchers, type ConfigurationSource,
} from '@limpetbarrow/releases';
import {EitherAsync, Right, type Either} from 'purify-ts';
import {
	ControlServer, type ControlAnswer, type ControlCall, type ControlDialect,
} from './control-server.js';
import {HostEgress} from './host-egress.js';
import {type CallerProtocol} from './ingress-request.js';
import {Ingress} from './ingress.js';
import {ConfigurationCarrier, PeerConfigurations} from './peer-configurations.js';
import {drainNode} from './planned-stop.js';
import {registerProcessGauges, registerProgressGauges, type ProgressCount} from './process-gauges.js';
import {RequestRouter} from './request-router.js';
import {ServerDirectory} from './server-directory.js';
import {type ServerProtocol} from './server-protocol.js';
import {acceptHostAnnouncement} from './host-announcement.js';
import {type SidecarSettings} from './sidecar-settings.js';
import {StoreDiscovery} from './store-discovery.js';

/** How the platform around a sidecar speaks. */
export type SidecarPlatform = {
	readonly store: ObjectStore;
	readonly source: ConfigurationSource;
	readonly callers: CallerProtocol;
	readonly servers: ServerProtocol;
	readonly control: ControlDialect;
};

/** What a sidecar node works with. */
export type SidecarOptions = {
	/** The settings in force; they may change while the node runs. */
	readonly getSettings: () => SidecarSettings;
	readonly platform: SidecarPlatform;
	readonly logger: Logger;
};

/** What is there before the node has its number. */
type SidecarState = {
	readonly announcements: Announcements;
	readonly discovery: StoreDiscovery;
	readonly incarnation: number;
};

/** Announcements that may be missing in a row before a backend server counts as gone. */
const announcementsPerLease = 6;
/** Time without a message from any other node after which a node watches the configuration itself, in milliseconds. */
const maxSilenceMs = 1500;
/** Lines that one configuration may take to tell which of its entries can't be read. */
const maxSkippedLines = 20;
/** Nodes of each failure domain that watch the configuration; a change is heard of while any of the fleet's watches works. */
const watchersPerDomain = 4;
/** Part of the fleet's retry ratio that is used; the rest is room for requests that are counted late. */
const usedRetryShare = 0.85;

function createRecord(settings: SidecarSettings, incarnation: number): NodeRecord {
	return {
		id: settings.id,
		incarnation,
		sequence: 1,
		placement: {region: settings.region, failureDomain: settings.failureDomain},
		linkAddress: settings.advertisedLink ?? settings.link,
		gossipAddress: settings.advertisedGossip ?? settings.gossip,
		ingressAddress: settings.ingress,
		adminAddress: settings.metrics,
		state: 'serving',
		release: 0,
		servers: [],
		poison: [],
	};
}

/** Runs one sidecar. */
export class SidecarNode {
	/** Takes the number of this run, listens on all addresses and begins to learn of the fleet and its configuration. */
	static async start(options: SidecarOptions): Promise<SidecarNode> {
		const {
			id, failureDomain, gossip, advertisedGossip = gossip,
		} = options.getSettings();
		const started: {node?: SidecarNode} = {};
		const announcements = new Announcements(options.logger, options.getSettings().announcementPeriodMs * announcementsPerLease);
		const discovery = new StoreDiscovery({
			store: options.platform.store,
			self: {id, failureDomain, gossipAddress: advertisedGossip},
			handleLeft(left) {
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
	readonly #links: LinkPool;
	readonly #linkServer: LinkServer;
	readonly #gossip: Gossip;
	readonly #egress: HostEgress;
	readonly #ingress: Ingress;
	readonly #control: ControlServer;
	readonly #watcher: ConfigurationWatcher;
	readonly #peers: PeerConfigurations;
	readonly #discovery: StoreDiscovery;
	#sweep: NodeJS.Timeout | undefined;
	#isStopping = false;

	private constructor(options: SidecarOptions, {announcements, discovery, incarnation}: SidecarState) {
		const {logger, platform} = options;
		const settings = options.getSettings();
		this.#options = options;
		this.#discovery = discovery;
		registerProcessGauges(this.#metrics);
		this.#table = new MemberTable(createRecord(settings, incarnation));
		this.#announcements = announcements;
		this.#directory = new ServerDirectory(this.#table);
		this.#links = new LinkPool(this.#table.self, {logger, metrics: this.#metrics});
		this.#egress = this.#createEgress();
		const configurations = new ConfigurationCarrier(this.#releases);
		this.#linkServer = new LinkServer(this.#table.self, target => this.#selectCarrier(target, configurations), logger, this.#metrics);
		this.#gossip = new Gossip(this.#table, [], {logger, metrics: this.#metrics});
		this.#ingress = this.#createIngress(this.#createRouter());
		this.#control = new ControlServer(platform.control, (call, remoteHost) => this.#handleCall(call, remoteHost));
		this.#watcher = new ConfigurationWatcher({
			source: platform.source, state: this.#releases, logger, isSelectedWatcher: () => this.#isChosenWatcher(), countLiveNodes: () => this.#table.listLive().length,
		});
		this.#peers = new PeerConfigurations({
			table: this.#table, state: this.#releases, findEgress: nodeId => this.#findLink(nodeId), isWatching: () => this.#watcher.isWatching(), readPlatform: () => {
				this.#watcher.readNow();
			}, logger,
		});
	}

	/** Takes gossip addresses of other nodes. */
	addPeers(addresses: readonly Address[]): void {
		this.#gossip.addSeeds(addresses);
	}

	/** Ids of the nodes that are held alive, this one among them. */
	listLiveIds(): readonly string[] {
		return this.#table.listLive().map(({record}) => record.id);
	}

	/** Stops as planned: takes no new work, then waits for what is in progress, at most as long as the settings say. */
	async stop(): Promise<void> {
		const {logger, getSettings} = this.#options;
		logger.log('nodeStopping', {requests: this.#countInProgress()});
		const isDrained = await drainNode({
			startStopping: () => {
				this.#isStopping = true;
				this.#ingress.startStopping();
				this.#table.updateSelf(() => ({state: 'stopping', servers: this.#listServers()}));
			},
			countServers: () => 0,
			countConnections: () => this.#ingress.countConnections(),
			stopListening: () => {
				this.#ingress.stopListening();
			},
			countInProgress: () => this.#countInProgress(),
		}, getSettings());
		if (!isDrained) {
			logger.log('nodeStopForced', {requests: this.#countInProgress()});
		}

		await this.close();
		logger.log('nodeStopped');
	}

	/** Ends at once. */
	async close(): Promise<void> {
		clearInterval(this.#sweep);
		this.#watcher.stop();
		this.#peers.stop();
		this.#discovery.stop();
		this.#gossip.stop();
		this.#ingress.close();
		this.#control.close();
		this.#links.close();
		await this.#linkServer.close();
		await this.#egress.close();
	}

	async #start(): Promise<void> {
		const settings = this.#options.getSettings();
		this.#registerPublishing();
		registerProgressGauges(this.#metrics, this.#listProgress());
		this.#watcher.start();
		await Promise.all([
			this.#linkServer.listen(settings.link),
			this.#gossip.start(settings.gossip),
			this.#control.listen(settings.readiness),
			this.#control.listen(settings.announcements),
			this.#control.listen(settings.metrics),
			this.#ingress.listen(settings.ingress),
		]);
		this.#discovery.start();
		this.#peers.start();
		this.#sweep = setInterval(() => {
			this.#announcements.sweep();
			this.#egress.sweep();
		}, announcementSweepMs);
		this.#options.logger.log('nodeStarted', {incarnation: this.#table.self.incarnation, service: settings.service});
	}

	#createEgress(): HostEgress {
		return new HostEgress({
			announcements: this.#announcements,
			protocol: this.#options.platform.servers,
			listFleetMarks: () => this.#table.listLive().flatMap(({record}) => record.poison),
			createRetries: service => this.#createRetries(service),
			isStopping: () => this.#isStopping,
			metrics: this.#metrics,
			logger: this.#options.logger,
		});
	}

	/** Every retry is sent to some backend server, so the parts of a service's backend servers make up its budget. */
	#createRetries(service: string): WindowedRetries {
		const {retryWindowMs, retryRatio, retryAllowance} = this.#options.getSettings();
		const window = {windowMs: retryWindowMs, ratio: retryRatio * usedRetryShare, allowance: retryAllowance * usedRetryShare};
		return new WindowedRetries(window, () => this.#directory.listCandidates(service).length);
	}

	#createRouter(): RequestRouter {
		const {logger} = this.#options;
		const table = this.#table;
		const self = {id: table.self.id, placement: table.getSelf().placement};
		return new RequestRouter({
			self,
			directory: this.#directory,
			findEgress: nodeId => nodeId === self.id ? this.#egress : this.#findLink(nodeId),
			findLocalLoad: (serverId, priority, route) => this.#egress.findLoad(serverId, priority, route),
			metrics: this.#metrics,
			logger,
		});
	}

	#createIngress(router: Carrier): Ingress {
		const {platform, logger, getSettings} = this.#options;
		return new Ingress({
			releases: this.#releases,
			admitRequest: () => Right(undefined),
			selectNext: () => Right(router),
			handleReserved(_message, response) {
				response.writeHead(404);
				response.end();
			},
			protocol: platform.callers,
			getCallerService: () => getSettings().service,
			findCause: requestId => this.#egress.findCause(requestId),
			metrics: this.#metrics,
			logger,
		});
	}

	/** Requests to no backend server in particular are for the node itself. */
	#selectCarrier(target: RequestTarget, configurations: Carrier): Carrier {
		return target.kind === 'egress' && target.serverId !== '' ? this.#egress : configurations;
	}

	#findLink(nodeId: string): Carrier | undefined {
		const member = this.#table.findMember(nodeId);
		return member && this.#links.getLink({identity: member.record, address: member.record.linkAddress});
	}

	#registerPublishing(): void {
		this.#announcements.store.registerListener(() => {
			this.#table.updateSelf(() => ({servers: this.#listServers(), poison: this.#egress.listPoison()}));
		});
		this.#releases.store.registerListener(({after}) => {
			const {release, routes, skipped = []} = after.configuration;
			this.#options.logger.log('releaseInForce', {release, routes: routes.size});
			skipped.slice(0, maxSkippedLines).forEach(detail => {
				this.#options.logger.log('releasePartSkipped', {release, detail});
			});
			this.#table.updateSelf(() => ({release: after.configuration.release}));
		});
	}

	/** A node that hears nobody, or holds no other alive, chooses itself. */
	#isChosenWatcher(): boolean {
		if (performance.now() - this.#gossip.getLastMessageAt() > maxSilenceMs) {
			return true;
		}

		const {failureDomain} = this.#table.getSelf().placement;
		const near = this.#table.listLive().filter(({record, status}) => status === 'alive' && record.placement.failureDomain === failureDomain);
		const peers = near.map(({record}) => ({
			id: record.id, failureDomain: record.placement.failureDomain, release: record.release, isServing: record.state === 'serving',
		}));
		return selectWatchers(peers, watchersPerDomain).has(this.#table.self.id);
	}

	#listServers(): NodeRecord['servers'] {
		const servers = this.#egress.listServers();
		return this.#isStopping ? servers.map(server => ({...server, state: 'leaving'})) : servers;
	}

	#handleCall(call: ControlCall, remoteHost: string): EitherAsync<Failure, ControlAnswer> {
		switch (call.kind) {
			case 'announce': {
				return EitherAsync.liftEither(this.#acceptAnnouncement(call.announcement, remoteHost))
					.chain(({id, generation, isLeaving}) => isLeaving ? this.#recordLeft(new Map([[id, generation]])) : EitherAsync.liftEither(Right(undefined)))
					.map(() => createJsonAnswer(200));
			}

			case 'leave': {
				return this.#recordLeft(this.#announcements.leave(call.serverId, call.generation)).map(() => createJsonAnswer(200));
			}

			case 'readiness': {
				return EitherAsync.liftEither(Right(createJsonAnswer(!this.#isStopping && this.#releases.getNumber() > 0 ? 200 : 503)));
			}

			case 'metrics': {
				return EitherAsync.liftEither(Right({status: 200, contentType: 'text/plain; version=0.0.4', body: this.#metrics.formatReport()}));
			}
		}
	}

	/** Nothing new is handed over from before this call; it is acknowledged once the process after this one is bound as well. */
	#recordLeft(left: LeftServers): EitherAsync<Failure, void> {
		const {logger} = this.#options;
		const servers = [...left].map(([id, generation]) => `${id}@${generation}`).join(',');
		return this.#discovery.recordLeft(left).ifRight(() => {
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

	#listProgress(): readonly ProgressCount[] {
		return [
			{name: 'ingress_requests', count: () => this.#ingress.countRequests()},
			{name: 'egress_requests', count: () => this.#egress.countRequests()},
			{name: 'link_exchanges_served', count: () => this.#linkServer.countExchanges()},
			{name: 'link_exchanges_opened', count: () => this.#links.countExchanges()},
		];
	}

	#countInProgress(): number {
		return this.#listProgress().reduce((sum, {count}) => sum + count(), 0);
	}
}

function createJsonAnswer(status: number): ControlAnswer {
	return {status, contentType: 'application/json', body: '{}'};
}
