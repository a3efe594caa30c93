/** A node of the fleet: ingress, egress, links, membership, releases and admin API in one process. */
import process from 'node:process';
import {
	MetricRegistry, type Carrier, type Logger, type NodeRecord, type RequestTarget,
} from '@limpetbarrow/core';
import {NearestChooser} from '@limpetbarrow/choose';
import {FleetMarks} from '@limpetbarrow/detect';
import {LinkPool, LinkServer} from '@limpetbarrow/link';
import {
	announcementSweepMs, Announcements, Gossip, MemberTable,
} from '@limpetbarrow/members';
import {HttpObjectStore} from '@limpetbarrow/object-store';
import {ReleaseFollower, ReleaseState} from '@limpetbarrow/releases';
import {AdminServer} from './operators/admin-server.js';
import {CallerServices} from './terms/caller-services.js';
import {Egress} from './backend/egress.js';
import {Forwarder} from './routing/forwarder.js';
import {HttpReleasePeers} from './fleet/http-release-peers.js';
import {Ingress} from './callers/ingress.js';
import {registerProcessGauges, registerInProgressGauges, type InProgressCount} from './operators/process-gauges.js';
import {listFleetMarks} from './fleet/list-fleet-marks.js';
import {PeerBaselineSource} from './backend/peer-baseline-source.js';
import {drainNode, type StoppingNode} from './planned-stop.js';
import {ServerDirectory} from './routing/server-directory.js';
import {registerServerHandover} from './backend/server-handover.js';
import {type NodeSettings} from './settings.js';

/** Longest time that a starting node waits for the other members' records before it accepts callers, in milliseconds. */
const joinTimeoutMs = 3000;

function createRecord(settings: NodeSettings): NodeRecord {
	return {
		id: settings.id,
		incarnation: Date.now(),
		sequence: 1,
		placement: {region: settings.region, failureDomain: settings.failureDomain},
		linkAddress: settings.link,
		gossipAddress: settings.gossip,
		ingressAddress: settings.ingress,
		adminAddress: settings.admin,
		state: 'serving',
		release: 0,
		servers: [],
		poison: [],
	};
}

/** Creates the components of one node, connects them, and starts and stops them. */
export class LimpetbarrowNode {
	readonly #settings: NodeSettings;
	readonly #logger: Logger;
	readonly #metrics = new MetricRegistry();
	readonly #objectStore: HttpObjectStore;
	readonly #table: MemberTable;
	readonly #announcements: Announcements;
	readonly #fleetMarks = new FleetMarks();
	readonly #releases = new ReleaseState();
	readonly #releasePeers: HttpReleasePeers;
	readonly #releaseFollower: ReleaseFollower;
	readonly #egress: Egress;
	readonly #linkPool: LinkPool;
	readonly #directory: ServerDirectory;
	readonly #linkServer: LinkServer;
	readonly #gossip: Gossip;
	readonly #forwarder: Forwarder;
	readonly #callerServices: CallerServices;
	readonly #ingress: Ingress;
	readonly #adminServer: AdminServer;
	#sweepTimer: NodeJS.Timeout | undefined;
	#isStopping = false;

	constructor(settings: NodeSettings, logger: Logger) {
		this.#settings = settings;
		this.#logger = logger;
		registerProcessGauges(this.#metrics);
		this.#objectStore = new HttpObjectStore(settings.platform);
		this.#table = new MemberTable(createRecord(settings));
		this.#announcements = new Announcements(logger);
		this.#releasePeers = new HttpReleasePeers(this.#table);
		this.#releaseFollower = new ReleaseFollower({
			store: this.#objectStore, state: this.#releases, peers: this.#releasePeers, expectsPeers: settings.seeds.length > 0, logger,
		});
		this.#linkPool = new LinkPool(this.#table.self, {logger, metrics: this.#metrics});
		this.#directory = new ServerDirectory(this.#table);
		this.#egress = this.#createEgress();
		this.#linkServer = new LinkServer(this.#table.self, target => this.#selectCarrier(target), logger, this.#metrics);
		this.#gossip = new Gossip(this.#table, settings.seeds, {logger, metrics: this.#metrics});
		this.#forwarder = this.#createForwarder();
		this.#callerServices = new CallerServices({
			table: this.#table,
			releases: this.#releases,
			platform: this.#objectStore,
			links: this.#linkPool,
			forwarder: this.#forwarder,
			metrics: this.#metrics,
			logger,
			isStopping: () => this.#isStopping,
		});
		this.#ingress = this.#createIngress();
		this.#adminServer = new AdminServer({
			announcements: this.#announcements,
			table: this.#table,
			releases: this.#releases,
			platform: this.#objectStore,
			metrics: this.#metrics,
			logger,
			isStopping: () => this.#isStopping,
		});
	}

	/** Listens on all addresses, joins the fleet, and resolves to this node's record. */
	async start(): Promise<NodeRecord> {
		const settings = this.#settings;
		const linkAddress = await this.#linkServer.listen(settings.link);
		const adminAddress = await this.#adminServer.listen(settings.admin);
		const gossipAddress = await this.#gossip.start(settings.gossip);
		this.#table.updateSelf(() => ({linkAddress, adminAddress, gossipAddress}));
		this.#registerRecordUpdates();
		registerInProgressGauges(this.#metrics, this.#listInProgressCounts());
		this.#releaseFollower.start();
		this.#callerServices.start();
		await this.#gossip.waitUntilJoined(joinTimeoutMs);
		const ingressAddress = await this.#ingress.listen(settings.ingress);
		this.#table.updateSelf(() => ({ingressAddress}));
		this.#sweepTimer = setInterval(() => {
			this.#announcements.sweep();
			this.#egress.sweep();
			this.#callerServices.sweep();
		}, announcementSweepMs);
		this.#logger.log('nodeStarted', {ingress: `${ingressAddress.host}:${ingressAddress.port}`, admin: `${adminAddress.host}:${adminAddress.port}`});
		return this.#table.getSelf();
	}

	/**
	 * Performs a planned stop: hands the backend servers over, stops listening, and waits for requests in progress. Takes at
	 * most the stop timeout of the settings.
	 */
	async stop(): Promise<void> {
		this.#logger.log('nodeStopping');
		await drainNode(this.#createStoppingNode(), this.#settings);
		await this.close();
		this.#logger.log('nodeStopped');
	}

	/** Closes all connections at once, without waiting for requests in progress. */
	async close(): Promise<void> {
		clearInterval(this.#sweepTimer);
		this.#releaseFollower.stop();
		this.#callerServices.stop();
		this.#gossip.stop();
		this.#ingress.close();
		this.#adminServer.close();
		this.#linkPool.close();
		await this.#linkServer.close();
		await this.#egress.close();
		await this.#releasePeers.close();
		await this.#objectStore.close();
	}

	#createEgress(): Egress {
		return new Egress({
			announcements: this.#announcements,
			releases: this.#releases,
			baselineSource: new PeerBaselineSource(this.#settings.id, this.#directory, nodeId => this.#findLink(nodeId)),
			listFleetMarks: () => listFleetMarks(this.#fleetMarks, this.#table),
			metrics: this.#metrics,
			logger: this.#logger,
		});
	}

	#createForwarder(): Forwarder {
		const self = {id: this.#table.self.id, placement: this.#table.getSelf().placement};
		return new Forwarder({
			self,
			directory: this.#directory,
			releases: this.#releases,
			chooser: new NearestChooser(self),
			findEgress: nodeId => nodeId === self.id ? this.#egress : this.#findLink(nodeId),
			metrics: this.#metrics,
		});
	}

	#createIngress(): Ingress {
		return new Ingress({
			releases: this.#releases,
			admitRequest: request => this.#callerServices.admitRequest(request),
			selectCarrier: (request, terms) => this.#callerServices.selectCarrier(request, terms),
			handleReserved: (message, response) => {
				this.#callerServices.handleReserved(message, response);
			},
			metrics: this.#metrics,
			logger: this.#logger,
		});
	}

	#selectCarrier(target: RequestTarget): Carrier {
		return target.kind === 'egress' ? this.#egress : this.#callerServices.home;
	}

	#findLink(nodeId: string): Carrier | undefined {
		const member = this.#table.findMember(nodeId);
		return member && this.#linkPool.getLink({identity: member.record, address: member.record.linkAddress});
	}

	#registerRecordUpdates(): void {
		registerServerHandover(this.#table, this.#announcements);
		this.#announcements.store.registerListener(() => {
			this.#table.updateSelf(() => ({servers: this.#egress.listServers(), poison: this.#egress.listPoison()}));
		});
		this.#releases.store.registerListener(({after}) => {
			this.#logger.log('releaseInForce', {release: after.configuration.release});
			this.#table.updateSelf(() => ({release: after.configuration.release}));
		});
	}

	#createStoppingNode(): StoppingNode {
		return {
			startStopping: lastAnswerAt => {
				this.#isStopping = true;
				this.#forwarder.startStopping(lastAnswerAt);
				this.#table.updateSelf(() => ({state: 'stopping'}));
				this.#ingress.startStopping();
			},
			countServers: () => this.#announcements.store.getState().servers.size,
			stopTakingWork() {
				// The backend servers have announced themselves to other nodes, which therefore send no more work here.
			},
			countConnections: () => this.#ingress.countConnections(),
			stopListening: () => {
				this.#ingress.stopListening();
			},
			countRequestsInProgress: () => this.#countInProgress(),
			countDelivering: () => this.#ingress.countDelivering(),
			failRequests: () => {
				this.#logger.log('nodeStopForced', {requests: this.#countInProgress()});
				this.#ingress.failRequests();
			},
		};
	}

	#listInProgressCounts(): readonly InProgressCount[] {
		return [
			{name: 'ingress_requests', count: () => this.#ingress.countRequests()},
			{name: 'egress_requests', count: () => this.#egress.countRequests()},
			{name: 'keys', count: () => this.#callerServices.countRunning()},
			{name: 'link_exchanges_served', count: () => this.#linkServer.countExchanges()},
			{name: 'link_exchanges_opened', count: () => this.#linkPool.countExchanges()},
		];
	}

	#countInProgress(): number {
		return this.#listInProgressCounts().reduce((sum, {count}) => sum + count(), 0);
	}
}
