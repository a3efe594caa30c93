/** All that a node does for callers who hold terms: admission, limits, homes of keys, the terms service. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Either} from 'purify-ts';
import {
	type Carrier, type Failure, type Logger, type MetricRegistry, type NodeIdentity,
} from '@limpetbarrow/core';
import {type LinkPool} from '@limpetbarrow/link';
import {SharedRateLimiter, type Terms} from '@limpetbarrow/limits';
import {type MemberTable} from '@limpetbarrow/members';
import {type ObjectStore} from '@limpetbarrow/object-store';
import {type ReleaseState} from '@limpetbarrow/releases';
import {
	maxKeptBytes, maxKeptBytesPerTerms, maxKeys, maxKeysPerTerms, PauseDetector, Sequencer, SteadyClock,
} from '@limpetbarrow/sequencer';
import {Admission} from './admission.js';
import {HomeCarrier} from './home-carrier.js';
import {HomeRouter} from './home-router.js';
import {type IngressRequest} from './ingress-request.js';
import {readKeyedRequest} from './keyed-request.js';
import {SheddingMonitor} from './shedding-monitor.js';
import {TermsKeys} from './terms-keys.js';
import {TermsService} from './terms-service.js';
import {createReportUse, type HeldTerms} from './use-reports.js';

/** What the services for callers work with. */
export type CallerServicesOptions = {
	readonly table: MemberTable;
	readonly releases: ReleaseState;
	readonly platform: ObjectStore;
	readonly links: LinkPool;
	readonly forwarder: Carrier;
	readonly metrics: MetricRegistry;
	readonly logger: Logger;
	readonly isStopping: () => boolean;
};

/** Ties them together. */
export class CallerServices {
	/** Takes keyed requests whose home this node is. */
	readonly home: Carrier;
	readonly #options: CallerServicesOptions;
	readonly #clock = new SteadyClock();
	readonly #pauses = new PauseDetector();
	readonly #limiter: SharedRateLimiter<HeldTerms>;
	readonly #keys: TermsKeys;
	readonly #sequencer: Sequencer;
	readonly #admission: Admission;
	readonly #router: HomeRouter;
	readonly #terms: TermsService;
	readonly #shedding: SheddingMonitor;

	constructor(options: CallerServicesOptions) {
		this.#options = options;
		const {table, forwarder, links, metrics, isStopping} = options;
		this.#keys = new TermsKeys(options.platform, options.logger);
		this.#shedding = new SheddingMonitor(metrics);
		this.#sequencer = this.#createSequencer();
		this.home = new HomeCarrier(this.#sequencer, isStopping, () => this.#keys.listKeys());
		this.#router = new HomeRouter({
			self: table.self,
			sequencer: this.home,
			forwarder,
			findMember: id => table.findMember(id),
			getLink: peer => links.getLink(peer),
		});
		this.#limiter = new SharedRateLimiter(createReportUse(({home}) => this.#router.findHome(home)));
		this.#admission = new Admission({
			keys: this.#keys,
			clock: this.#clock,
			takePermit: (terms, token) => this.#limiter.takePermit({...terms, token}, performance.now()),
		});
		this.#terms = this.#createTermsService();
		metrics.registerGauge('sequencer_keys', () => this.#sequencer.countKeys());
		metrics.registerGauge('sequencer_kept_bytes', () => this.#sequencer.countBytes());
		metrics.registerGauge('sequencer_running', () => this.#sequencer.countRunning());
	}

	start(): void {
		this.#pauses.start();
		this.#keys.start();
	}

	stop(): void {
		this.#pauses.stop();
		this.#keys.stop();
	}

	/** Drops what has expired and looks at the load; called every half second. */
	sweep(): void {
		const dropped = this.#sequencer.sweep();
		if (dropped > 0) {
			this.#options.logger.log('keyDropped', {keys: dropped});
		}

		this.#shedding.recordSample();
	}

	/** Keyed requests in progress here. */
	countRunning(): number {
		return this.#sequencer.countRunning();
	}

	admitRequest(request: IngressRequest): Either<Failure, Terms | undefined> {
		return this.#admission.admitRequest(request);
	}

	selectCarrier(request: IngressRequest, terms: Terms | undefined): Either<Failure, Carrier> {
		return this.#router.selectCarrier(request, terms);
	}

	handleReserved(message: IncomingMessage, response: ServerResponse): void {
		void this.#terms.handle(message, response);
	}

	#createSequencer(): Sequencer {
		const {table, forwarder, isStopping} = this.#options;
		return new Sequencer({
			next: forwarder,
			readKey: head => readKeyedRequest(head, table.self, this.#keys.listKeys()),
			clock: this.#clock,
			pauses: this.#pauses,
			bounds: {
				maxKeys, maxKeysPerTerms, maxKeptBytes, maxKeptBytesPerTerms,
			},
			isStopping,
		});
	}

	#createTermsService(): TermsService {
		const {releases, logger} = this.#options;
		return new TermsService({
			releases,
			keys: this.#keys,
			chooseHome: () => this.#chooseHome(),
			isShedding: () => this.#shedding.isShedding(),
			getNow: () => this.#clock.getNow(),
			logger,
		});
	}

	/** This node, unless it is stopping; then a serving node, of the same failure domain if there is one. */
	#chooseHome(): NodeIdentity {
		const {table, isStopping} = this.#options;
		if (!isStopping()) {
			return table.self;
		}

		const {failureDomain} = table.getSelf().placement;
		const serving = table.listLive().filter(({record, status}) => status === 'alive' && record.state === 'serving' && record.id !== table.self.id);
		const near = serving.filter(({record}) => record.placement.failureDomain === failureDomain);
		const peers = near.length > 0 ? near : serving;
		const peer = peers[Math.floor(Math.random() * peers.length)]?.record;
		return peer ? {id: peer.id, incarnation: peer.incarnation} : table.self;
	}
}
