/**
 * Services of a node for callers that hold terms: admission, rate limits, routing of keyed requests to their home, and the
 * issue of terms.
 */
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
import {type IngressRequest} from '../callers/ingress-request.js';
import {Admission} from './admission.js';
import {HomeCarrier} from './home-carrier.js';
import {HomeRouter} from './home-router.js';
import {readKeyedRequest} from './keyed-request.js';
import {SheddingMonitor} from './shedding-monitor.js';
import {TermsKeys} from './terms-keys.js';
import {TermsService} from './terms-service.js';
import {createUseReporter, type TermsWithToken} from './use-reports.js';

/** Dependencies of the services for callers. */
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

/** Creates the services for callers and connects them. */
export class CallerServices {
	/** Handles keyed requests whose home is this node. */
	readonly home: Carrier;
	readonly #options: CallerServicesOptions;
	readonly #clock = new SteadyClock();
	readonly #pauseDetector = new PauseDetector();
	readonly #limiter: SharedRateLimiter<TermsWithToken>;
	readonly #termsKeys: TermsKeys;
	readonly #sequencer: Sequencer;
	readonly #admission: Admission;
	readonly #homeRouter: HomeRouter;
	readonly #termsService: TermsService;
	readonly #sheddingMonitor: SheddingMonitor;

	constructor(options: CallerServicesOptions) {
		this.#options = options;
		const {table, forwarder, links, metrics, isStopping} = options;
		this.#termsKeys = new TermsKeys(options.platform, options.logger);
		this.#sheddingMonitor = new SheddingMonitor(metrics);
		this.#sequencer = this.#createSequencer();
		this.home = new HomeCarrier(this.#sequencer, isStopping, () => this.#termsKeys.listKeys());
		this.#homeRouter = new HomeRouter({
			self: table.self,
			sequencer: this.home,
			forwarder,
			findMember: id => table.findMember(id),
			getLink: peer => links.getLink(peer),
		});
		this.#limiter = new SharedRateLimiter(createUseReporter(({home}) => this.#homeRouter.findHome(home)));
		this.#admission = new Admission({
			keys: this.#termsKeys,
			clock: this.#clock,
			takePermit: (terms, token) => this.#limiter.takePermit({...terms, token}, performance.now()),
		});
		this.#termsService = this.#createTermsService();
		metrics.registerGauge('sequencer_keys', () => this.#sequencer.countKeys());
		metrics.registerGauge('sequencer_kept_bytes', () => this.#sequencer.countBytes());
		metrics.registerGauge('sequencer_running', () => this.#sequencer.countRunning());
	}

	start(): void {
		this.#pauseDetector.start();
		this.#termsKeys.start();
	}

	stop(): void {
		this.#pauseDetector.stop();
		this.#termsKeys.stop();
	}

	/** Drops expired keys and samples whether the node sheds load; called every half second. */
	sweep(): void {
		const droppedKeys = this.#sequencer.sweep();
		if (droppedKeys > 0) {
			this.#options.logger.log('keyDropped', {keys: droppedKeys});
		}

		this.#sheddingMonitor.recordSample();
	}

	/** Counts the keyed requests in progress on this node. */
	countRunning(): number {
		return this.#sequencer.countRunning();
	}

	/** Checks a request's terms and rate limit; returns the terms, if it has any. */
	admitRequest(request: IngressRequest): Either<Failure, Terms | undefined> {
		return this.#admission.admitRequest(request);
	}

	/** Returns the carrier that the request is passed to next: the home of its key, or the forwarder. */
	selectCarrier(request: IngressRequest, terms: Terms | undefined): Either<Failure, Carrier> {
		return this.#homeRouter.selectCarrier(request, terms);
	}

	/** Answers a request for a path under the reserved prefix. */
	handleReserved(message: IncomingMessage, response: ServerResponse): void {
		void this.#termsService.handle(message, response);
	}

	#createSequencer(): Sequencer {
		const {table, forwarder, isStopping} = this.#options;
		return new Sequencer({
			next: forwarder,
			readKey: head => readKeyedRequest(head, table.self, this.#termsKeys.listKeys()),
			clock: this.#clock,
			pauses: this.#pauseDetector,
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
			keys: this.#termsKeys,
			chooseHome: () => this.#chooseHome(),
			isShedding: () => this.#sheddingMonitor.isShedding(),
			getNow: () => this.#clock.getNow(),
			logger,
		});
	}

	/** Returns this node, or, while it is stopping, a random serving node, preferably of the same failure domain. */
	#chooseHome(): NodeIdentity {
		const {table, isStopping} = this.#options;
		if (!isStopping()) {
			return table.self;
		}

		const {failureDomain} = table.getSelf().placement;
		const serving = table.listLive().filter(({record, status}) => status === 'alive' && record.state === 'serving' && record.id !== table.self.id);
		const sameDomainPeers = serving.filter(({record}) => record.placement.failureDomain === failureDomain);
		const candidates = sameDomainPeers.length > 0 ? sameDomainPeers : serving;
		const peer = candidates[Math.floor(Math.random() * candidates.length)]?.record;
		return peer ? {id: peer.id, incarnation: peer.incarnation} : table.self;
	}
}
