/** One caller, its home and the nodes it sends through, in fake time. */
import {
	LocalRateLimiter, SharedRateLimiter, UsageAccounts, type LimitedCaller, type RateLimiter,
} from '@limpetbarrow/limits';
import {BatchRateLimiter, PermitHome} from './batch-rate-limiter.js';

/** How limits are kept on the nodes. */
export type LimitPolicy = 'local, whole rate' | 'local, rate / nodes' | 'home batches, open at rate / nodes' | 'home batches, open at whole rate' | 'reports to home';

/** What fails while the caller sends. */
export type LimitFault = 'none' | 'home dead' | 'half the nodes parted from home';

/** One setting of the model. */
export type LimitScenario = {
	readonly policy: LimitPolicy;
	readonly fault: LimitFault;
	/** Nodes of the fleet, and those of them that the caller sends through. */
	readonly nodes: number;
	readonly usedNodes: number;
	/** Requests per second that the terms allow. */
	readonly rate: number;
	/** Requests sent for each that the terms allow. */
	readonly demand: number;
	readonly seed: number;
};

/** Counts of one run. */
export type LimitCounts = {
	readonly sent: number;
	/** Requests one bucket for the whole fleet lets in. */
	readonly entitled: number;
	readonly admitted: number;
	readonly refusedEntitled: number;
	readonly overshoot: number;
	readonly messages: number;
};

type Arrival = {
	readonly at: number;
	readonly node: number;
};

type Delivery = {
	readonly at: number;
	readonly deliver: (now: number) => void;
};

const durationMs = 60_000;
const faultFromMs = 20_000;
const faultToMs = 40_000;
const windowMs = 5000;
const oneWayMs = 15;
const msPerS = 1000;

const multiplier = 16_807;
const modulus = 2_147_483_647;

/** A generator of numbers in (0, 1) from a seed above 0. */
export function createRandom(seed: number): () => number {
	let state = seed;
	return () => {
		state = state * multiplier % modulus;
		return state / modulus;
	};
}

function createArrivals({rate, demand, usedNodes, seed}: LimitScenario): readonly Arrival[] {
	const random = createRandom(seed * 7919);
	const arrivals: Arrival[] = [];
	const addFrom = (from: number): void => {
		let at = from;
		while (at < durationMs) {
			at += -Math.log(1 - random()) * msPerS / (rate * demand);
			arrivals.push({at, node: Math.floor(random() * usedNodes)});
		}
	};

	addFrom(0);
	return arrivals;
}

class Network {
	messages = 0;
	now = 0;
	readonly #pending: Delivery[] = [];

	send(at: number, deliver: (now: number) => void): void {
		this.messages++;
		this.#pending.push({at: at + oneWayMs, deliver});
	}

	dispatchUntil(now: number): void {
		const next = this.#pending[0];
		if (next && next.at <= now) {
			this.#pending.shift();
			next.deliver(next.at);
			this.dispatchUntil(now);
		}

		this.now = now;
	}
}

function isCut({fault}: LimitScenario, node: number, now: number): boolean {
	const isInFault = now >= faultFromMs && now < faultToMs;
	return isInFault && (fault === 'home dead' || (fault !== 'none' && node % 2 === 0));
}

type Ask = (node: number, answer: (now: number) => number, handleAnswer: (value: number, now: number) => void) => void;

type HomeOfCaller = {
	readonly sendToHome: Ask;
	readonly home: PermitHome;
	readonly accounts: UsageAccounts;
};

function createLimiter({policy, nodes}: LimitScenario, node: number, {sendToHome, home, accounts}: HomeOfCaller): RateLimiter {
	switch (policy) {
		case 'local, whole rate': {
			return new LocalRateLimiter();
		}

		case 'local, rate / nodes': {
			return new LocalRateLimiter(1 / nodes);
		}

		case 'reports to home': {
			return new SharedRateLimiter<LimitedCaller>((caller, used, handleLevel) => {
				sendToHome(node, now => accounts.recordUsage(caller, used, now), handleLevel);
			});
		}

		case 'home batches, open at rate / nodes':
		case 'home batches, open at whole rate': {
			return new BatchRateLimiter<LimitedCaller>((caller, wanted, handleGrant) => {
				sendToHome(node, now => home.grantPermits(caller, wanted, now), handleGrant);
			}, policy === 'home batches, open at whole rate' ? 1 : 1 / nodes);
		}
	}
}

/** The home is none of the nodes used, so that every word of it travels. */
function createLimiters(scenario: LimitScenario, network: Network): readonly RateLimiter[] {
	const home = new PermitHome();
	const accounts = new UsageAccounts();
	const sendToHome: Ask = (node, answer, handleAnswer) => {
		if (isCut(scenario, node, network.now)) {
			network.messages++;
			return;
		}

		network.send(network.now, now => {
			const value = answer(now);
			network.send(now, answeredAt => {
				handleAnswer(value, answeredAt);
			});
		});
	};

	return Array.from({length: scenario.usedNodes}, (_, node) => createLimiter(scenario, node, {sendToHome, home, accounts}));
}

function countWindows(times: readonly number[]): readonly number[] {
	const counts = Array.from({length: durationMs / windowMs}, () => 0);
	times.forEach(at => {
		const window = Math.min(counts.length - 1, Math.floor(at / windowMs));
		counts[window] = counts[window]! + 1;
	});
	return counts;
}

function computeExcess(more: readonly number[], less: readonly number[]): number {
	return more.reduce((sum, count, window) => sum + Math.max(0, count - less[window]!), 0);
}

/** Runs one setting and compares it with one bucket for the whole fleet. */
export function simulateLimits(scenario: LimitScenario): LimitCounts {
	const arrivals = createArrivals(scenario);
	const network = new Network();
	const limiters = createLimiters(scenario, network);
	const ideal = new LocalRateLimiter();
	const caller: LimitedCaller = {caller: 'caller', rate: scenario.rate};
	const admitted = arrivals.filter(({at, node}) => {
		network.dispatchUntil(at);
		return limiters[node]!.takePermit(caller, at).isRight();
	}).map(({at}) => at);
	const entitled = arrivals.filter(({at}) => ideal.takePermit(caller, at).isRight()).map(({at}) => at);
	const [admittedCounts, entitledCounts] = [countWindows(admitted), countWindows(entitled)];
	return {
		sent: arrivals.length,
		entitled: entitled.length,
		admitted: admitted.length,
		refusedEntitled: computeExcess(entitledCounts, admittedCounts),
		overshoot: computeExcess(admittedCounts, entitledCounts),
		messages: network.messages,
	};
}
