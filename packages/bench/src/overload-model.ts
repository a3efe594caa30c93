/** Model of a service under more load than it can take. Retry decisions are the real ones; queues and runs are modelled. */
import {type RetryPolicy} from '@limpetbarrow/choose';
import {EventQueue} from './event-queue.js';
import {createRandom, pickExponential} from './seeded-random.js';

/** How requests are retried and queued. */
export type OverloadPolicy = {
	readonly name: string;
	readonly createRetries: () => RetryPolicy;
	/** Requests that may wait before one server. */
	readonly queueLimit: number;
	/** True when the deadline travels with the request: no try and no run begins that can't meet it. */
	readonly hasDeadline: boolean;
};

/** Load over time, in milliseconds from the start. */
export type OverloadScenario = {
	readonly name: string;
	/** Requests offered, as a multiple of capacity. */
	readonly getLoad: (at: number) => number;
	/** True while servers hang. */
	readonly isOutage: (at: number) => boolean;
};

/** Counts of one second. */
export type SecondCounts = {
	readonly offered: number;
	readonly useful: number;
	/** Work in vain: cut off at the deadline while servers work, or ended after the caller had given up. */
	readonly late: number;
	readonly retries: number;
	readonly runs: number;
};

type ModelRequest = {
	readonly deadline: number;
	readonly tries: number;
};

type ModelServer = {
	running: number;
	queue: ModelRequest[];
};

/** Requests per second that the servers can run. */
export const capacityPerS = 360;

const serverCount = 12;
const slots = 3;
const meanRunMs = serverCount * slots * 1000 / capacityPerS;
const timeoutMs = 1000;
const maxTries = 3;
const failureShare = 0.02;
const outagePollMs = 100;

/** Runs one scenario. */
export class OverloadModel {
	readonly #policy: OverloadPolicy;
	readonly #scenario: OverloadScenario;
	readonly #retries: RetryPolicy;
	readonly #random: () => number;
	readonly #events = new EventQueue();
	readonly #servers: readonly ModelServer[] = Array.from({length: serverCount}, () => ({running: 0, queue: []}));
	readonly #seconds: SecondCounts[] = [];
	readonly #answered = new WeakSet<ModelRequest>();

	constructor(policy: OverloadPolicy, scenario: OverloadScenario, seed: number) {
		this.#policy = policy;
		this.#scenario = scenario;
		this.#retries = policy.createRetries();
		this.#random = createRandom(seed);
	}

	/** Counts of each second. */
	run(endMs: number): readonly SecondCounts[] {
		this.#addArrival();
		this.#events.runUntil(endMs);
		return this.#seconds;
	}

	#count(name: keyof SecondCounts): void {
		const second = Math.floor(this.#events.getNow() / 1000);
		while (this.#seconds.length <= second) {
			this.#seconds.push({
				offered: 0, useful: 0, late: 0, retries: 0, runs: 0,
			});
		}

		const counts = this.#seconds[second]!;
		this.#seconds[second] = {...counts, [name]: counts[name] + 1};
	}

	#addArrival(): void {
		const load = this.#scenario.getLoad(this.#events.getNow());
		this.#events.add(pickExponential(this.#random) * 1000 / (capacityPerS * load), () => {
			this.#count('offered');
			this.#retries.recordRequest();
			this.#runTry({deadline: this.#events.getNow() + timeoutMs, tries: 1});
			this.#addArrival();
		});
	}

	#runTry(request: ModelRequest): void {
		const server = this.#pickServer();
		if (!this.#policy.hasDeadline) {
			this.#events.add(timeoutMs, () => {
				this.#handleTryTimeout(request);
			});
		}

		if (server.running < slots) {
			this.#start(server, request);
		} else if (server.queue.length < this.#policy.queueLimit) {
			server.queue.push(request);
		} else {
			this.#retry(request, true);
		}
	}

	/** The less loaded of two. */
	#pickServer(): ModelServer {
		const [first, second] = [this.#random(), this.#random()].map(value => this.#servers[Math.floor(value * serverCount)]!);
		return second!.running + second!.queue.length < first!.running + first!.queue.length ? second! : first!;
	}

	#start(server: ModelServer, request: ModelRequest): void {
		server.running++;
		this.#count('runs');
		this.#runSlot(server, request, (0.5 + this.#random()) * meanRunMs);
	}

	#runSlot(server: ModelServer, request: ModelRequest, runMs: number): void {
		const now = this.#events.getNow();
		const isOutage = this.#scenario.isOutage(now);
		const untilDeadline = request.deadline - now;
		const isCutOff = this.#policy.hasDeadline && untilDeadline <= (isOutage ? outagePollMs : runMs);
		if (isCutOff) {
			this.#events.add(Math.max(0, untilDeadline), () => {
				if (!isOutage) {
					this.#count('late');
				}

				this.#finish(server, undefined);
			});
			return;
		}

		this.#events.add(isOutage ? outagePollMs : runMs, () => {
			if (isOutage) {
				this.#runSlot(server, request, runMs);
			} else {
				this.#finish(server, request);
			}
		});
	}

	#finish(server: ModelServer, request: ModelRequest | undefined): void {
		server.running--;
		if (request) {
			this.#handleAnswer(request);
		}

		this.#startNext(server);
	}

	#handleAnswer(request: ModelRequest): void {
		if (this.#events.getNow() > request.deadline) {
			this.#count('late');
		} else if (this.#random() < failureShare) {
			this.#retry(request, false);
		} else {
			this.#count('useful');
			this.#answered.add(request);
		}
	}

	#startNext(server: ModelServer): void {
		const next = server.running < slots ? server.queue.shift() : undefined;
		if (!next) {
			return;
		}

		if (this.#policy.hasDeadline && next.deadline - this.#events.getNow() < meanRunMs) {
			this.#retry(next, true);
			this.#startNext(server);
			return;
		}

		this.#start(server, next);
	}

	/** Without a deadline that travels, a caller gives each try up after a while and sends again. */
	#handleTryTimeout(request: ModelRequest): void {
		if (!this.#answered.has(request)) {
			this.#retry({...request, deadline: request.deadline + timeoutMs}, false);
		}
	}

	#retry(request: ModelRequest, isNotRun: boolean): void {
		const now = this.#events.getNow();
		if (request.tries >= maxTries || now >= request.deadline || !this.#retries.takeRetry(isNotRun, now)) {
			return;
		}

		this.#count('retries');
		this.#runTry({...request, tries: request.tries + 1});
	}
}
