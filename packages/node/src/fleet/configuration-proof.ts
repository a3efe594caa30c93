/** Decides whether this node may serve requests with keys: only while its configuration is proven fresh, where that is asked for. */
import {type Logger, type MetricRegistry} from '@limpetbarrow/core';
import {type MemberTable, type PeerQueries} from '@limpetbarrow/members';
import {
	ConfigurationFreshness, type Configuration, type FreshnessDuty, type ReleasePeer, type ReleaseState,
} from '@limpetbarrow/releases';
import {hasKeys} from './configuration-keys.js';
import {exchangePeriodMs, FreshnessExchange} from './freshness-exchange.js';

/** This node's place in the fleet, as far as proofs depend on it. */
export type ProofRole = {
	/** Lists the live nodes; the same list as long as nothing has changed. */
	listAlivePeers(): readonly ReleasePeer[];
	/** True for the first of the failure domain's watchers. */
	isProver(): boolean;
};

/** Dependencies of the proof. */
export type ConfigurationProofOptions = {
	readonly table: MemberTable;
	readonly state: ReleaseState;
	readonly queries: Pick<PeerQueries, 'ask' | 'registerTopic'>;
	readonly role: ProofRole;
	readonly getSettings: () => {readonly isRevocationStrict: boolean; readonly revocationMs?: number | undefined};
	/** Tells whether requests need keys under a configuration; `hasKeys` by default. */
	readonly hasKeys?: (configuration: Configuration) => boolean;
	readonly metrics: MetricRegistry;
	readonly logger: Logger;
};

/** Time in which a revoked key must stop working, where the settings name none, in milliseconds. */
const defaultRevocationMs = 5000;
/** Time before the end of it from which keys are rejected, in milliseconds: room for the clocks' rates and for the check itself. */
const revocationMarginMs = 300;
/** Time for which a proof must be missing before that is logged, in milliseconds. */
const logGraceMs = 1000;
/** Time between two log lines that a proof was lost, in milliseconds. */
const logPeriodMs = 10_000;
/** Largest age that the gauge shows, in milliseconds; it stands for no proof at all too. */
const maxShownAgeMs = 86_400_000;

/** Keeps this node's proofs and gets new ones from other nodes. */
export class ConfigurationProof {
	/** Gets the proofs from this node's own calls to the store. */
	readonly freshness: ConfigurationFreshness;
	readonly #options: ConfigurationProofOptions;
	readonly #exchange: FreshnessExchange;
	#timer: NodeJS.Timeout | undefined;
	#missingSince: number | undefined;
	#isLossLogged = false;
	#loggedAt = Number.NEGATIVE_INFINITY;

	constructor(options: ConfigurationProofOptions) {
		const {table, state, queries, role, metrics} = options;
		this.#options = options;
		this.freshness = new ConfigurationFreshness(() => state.getNumber());
		this.#exchange = new FreshnessExchange({
			selfId: table.self.id,
			failureDomain: table.getSelf().placement.failureDomain,
			freshness: this.freshness,
			queries,
			listNodes: () => role.listAlivePeers(),
			isNeeded: () => this.#isNeeded(),
		});
		metrics.registerGauge('configuration_proof_age_ms', () => Math.round(Math.min(maxShownAgeMs, this.#getAgeMs())));
	}

	start(): void {
		this.#exchange.start();
		this.#timer = setInterval(() => {
			this.#logChange(performance.now());
		}, exchangePeriodMs);
	}

	stop(): void {
		this.#exchange.stop();
		clearInterval(this.#timer);
	}

	/** Tells what this node's calls to the store must prove. */
	getDuty(): FreshnessDuty {
		const isNeeded = this.#isNeeded();
		return {isNeeded, isProver: isNeeded && this.#options.role.isProver()};
	}

	/** True while requests with keys may be served; always true where no proof is needed. */
	isProven(): boolean {
		const {revocationMs = defaultRevocationMs} = this.#options.getSettings();
		return !this.#isNeeded() || this.freshness.isProven(revocationMs - revocationMarginMs);
	}

	/** Asks other nodes for a proof at once; to be called when a request with a key was rejected for want of one. */
	askForProof(): void {
		this.#exchange.askForProof();
	}

	#isNeeded(): boolean {
		const {state, getSettings, hasKeys: hasKeysUnder = hasKeys} = this.#options;
		return getSettings().isRevocationStrict && hasKeysUnder(state.getConfiguration());
	}

	#getAgeMs(): number {
		const {now, wallNow} = this.freshness.readClocks();
		return this.freshness.getAgeMs(now, wallNow);
	}

	/** Logs the loss of the proof once it has lasted for a while, and its end; at most once each in a log period. */
	#logChange(now: number): void {
		const {logger} = this.#options;
		if (this.isProven()) {
			if (this.#isLossLogged) {
				logger.log('proofRegained', {ms: Math.round(now - (this.#missingSince ?? now))});
			}

			this.#missingSince = undefined;
			this.#isLossLogged = false;
			return;
		}

		this.#missingSince ??= now;
		if (!this.#isLossLogged && now - this.#missingSince >= logGraceMs && now - this.#loggedAt >= logPeriodMs) {
			this.#isLossLogged = true;
			this.#loggedAt = now;
			logger.log('proofLost', {ageMs: Math.round(Math.min(maxShownAgeMs, this.#getAgeMs()))});
		}
	}
}
