/** A backend server without a network behind its queue, and organisations that send to it; one sends many times its usual load. */
import {
	estimateWait, maxQueuedRequests, WaitQueue, type QueuedRequest, type RunningRequest,
} from '../index.js';

/** One organisation of a schedule. */
export type ModelOrganisation = {
	readonly name: string;
	/** Share of the backend server's capacity that it asks for usually. */
	readonly load: number;
	/** Mean duration of its requests, in milliseconds. */
	readonly workMs: number;
	readonly priority: number;
	/** Factor of its load between the start and the end of the surge. */
	readonly surge: number;
};

/** A schedule of requests; times are in milliseconds. */
export type ModelSchedule = {
	readonly seed: number;
	readonly slots: number;
	readonly durationMs: number;
	readonly surgeFrom: number;
	readonly surgeTo: number;
	/** Time by which a response is due, from its request's arrival. */
	readonly objectiveMs: number;
	readonly organisations: readonly ModelOrganisation[];
};

type ModelRequest = QueuedRequest & {
	readonly sender: string;
	readonly arrivedAt: number;
	readonly durationMs: number;
	/** The wait that was expected on arrival, in milliseconds. */
	readonly expectedWaitMs: number;
};

/** What became of the requests of one organisation that arrived during the surge. */
export type ModelResult = {
	readonly sentMs: number;
	readonly servedMs: number;
	readonly sent: number;
	readonly served: number;
	/** Waits of the requests that were started, in milliseconds. */
	readonly waitsMs: readonly number[];
	/** Sum of the waits that were expected for them on arrival, in milliseconds. */
	readonly expectedMs: number;
};

const emptyResult: ModelResult = {
	sentMs: 0, servedMs: 0, sent: 0, served: 0, waitsMs: [], expectedMs: 0,
};

/** Returns the same random numbers from 0 to below 1 for the same seed, an integer from 1 on (Lehmer's generator). */
export function createRandom(seed: number): () => number {
	const modulus = 2_147_483_647;
	let state = (seed * 7919) % modulus;
	const pick = (): number => {
		state = (state * 48_271) % modulus;
		return (state - 1) / (modulus - 1);
	};

	// The first numbers of neighbouring seeds resemble each other.
	Array.from({length: 8}).forEach(() => {
		pick();
	});
	return pick;
}

/** Plays one schedule. With `isFair` false, the queue doesn't know the organisations, as before there were any. */
export class FairModel {
	readonly results = new Map<string, ModelResult>();
	/** Time that slots were busy during the surge, summed over them, in milliseconds. */
	busyMs = 0;
	readonly #schedule: ModelSchedule;
	readonly #isFair: boolean;
	readonly #queue = new WaitQueue<ModelRequest>();
	readonly #running = new Map<ModelRequest, RunningRequest>();

	constructor(schedule: ModelSchedule, isFair: boolean) {
		this.#schedule = schedule;
		this.#isFair = isFair;
	}

	run(): this {
		this.#listArrivals().forEach(request => {
			this.#endRunning(request.arrivedAt);
			this.#admit(request);
		});
		this.#endRunning(Number.POSITIVE_INFINITY);
		return this;
	}

	getResult(name: string): ModelResult {
		return this.results.get(name) ?? emptyResult;
	}

	#listArrivals(): readonly ModelRequest[] {
		return this.#schedule.organisations.flatMap((organisation, index) => this.#listOwnArrivals(organisation, createRandom((this.#schedule.seed * 64) + index)))
			.toSorted((one, other) => one.arrivedAt - other.arrivedAt);
	}

	/** The same number of random numbers is drawn for each request, so that schedules with and without a surge share a seed. */
	#listOwnArrivals({name, load, workMs, priority, surge}: ModelOrganisation, random: () => number): readonly ModelRequest[] {
		const {slots, durationMs, surgeFrom, surgeTo, objectiveMs} = this.#schedule;
		const requests: ModelRequest[] = [];
		let at = 0;
		while (at < durationMs) {
			const factor = at >= surgeFrom && at < surgeTo ? surge : 1;
			at -= Math.log(1 - random()) * workMs / (load * slots * factor);
			requests.push({
				sender: name,
				organisation: this.#isFair ? name : '',
				priority,
				arrivedAt: at,
				dueAt: at + objectiveMs,
				latestStartAt: at + objectiveMs - workMs,
				workMs,
				durationMs: workMs * (0.5 + random()),
				expectedWaitMs: 0,
			});
		}

		return requests;
	}

	/** Refuses a request that would be late or finds the queue full, as the admission control does. */
	#admit(request: ModelRequest): void {
		const now = request.arrivedAt;
		this.#update(request.sender, now, ({sent, sentMs}) => ({sent: sent + 1, sentMs: sentMs + request.durationMs}));
		const isFull = this.#queue.count() >= maxQueuedRequests;
		const displaced = isFull ? this.#queue.findDisplaced(request) : undefined;
		const ahead = this.#queue.selectAhead(request).filter(item => item !== displaced);
		const expectedWaitMs = estimateWait(this.#schedule.slots, [...this.#running.values()], ahead, now);
		if ((isFull && !displaced) || expectedWaitMs > request.latestStartAt - now) {
			return;
		}

		if (displaced) {
			this.#queue.remove(displaced);
		}

		this.#queue.add({...request, expectedWaitMs});
		this.#startNext(now);
	}

	#endRunning(until: number): void {
		const ends = [...this.#running].map(([request, {startedAt}]) => ({request, endsAt: startedAt + request.durationMs}));
		const first = ends.filter(({endsAt}) => endsAt <= until).toSorted((one, other) => one.endsAt - other.endsAt).at(0);
		if (first) {
			this.#running.delete(first.request);
			this.#startNext(first.endsAt);
			this.#endRunning(until);
		}
	}

	#startNext(now: number): void {
		this.#queue.removeExpired(now);
		const next = this.#running.size < this.#schedule.slots ? this.#queue.takeNext() : undefined;
		if (next) {
			const {surgeFrom, surgeTo} = this.#schedule;
			this.#running.set(next, {startedAt: now, workMs: next.workMs});
			this.busyMs += Math.max(0, Math.min(surgeTo, now + next.durationMs) - Math.max(surgeFrom, now));
			this.#update(next.sender, next.arrivedAt, ({served, servedMs, waitsMs, expectedMs}) => ({
				served: served + 1, servedMs: servedMs + next.durationMs, waitsMs: [...waitsMs, now - next.arrivedAt], expectedMs: expectedMs + next.expectedWaitMs,
			}));
			this.#startNext(now);
		}
	}

	#update(sender: string, arrivedAt: number, change: (result: ModelResult) => Partial<ModelResult>): void {
		const {surgeFrom, surgeTo} = this.#schedule;
		if (arrivedAt >= surgeFrom && arrivedAt < surgeTo) {
			const result = this.getResult(sender);
			this.results.set(sender, {...result, ...change(result)});
		}
	}
}

/** Creates the schedule of a seed: one organisation with a surge, and smaller ones with different loads and durations. */
export function createSchedule(seed: number, {surge, priorities = 1}: {readonly surge: number; readonly priorities?: number}): ModelSchedule {
	const random = createRandom(seed);
	const count = 4 + Math.floor(random() * 9);
	const usualLoad = 0.8 + (random() * 0.15);
	const largeShare = 0.15 + (random() * 0.25);
	const weights = Array.from({length: count}, () => 0.2 + random());
	const sum = weights.reduce((total, weight) => total + weight, 0);
	return {
		seed,
		slots: 3 + Math.floor(random() * 8),
		durationMs: 30_000,
		surgeFrom: 5000,
		surgeTo: 25_000,
		objectiveMs: 1500,
		organisations: [
			{
				name: 'large', load: usualLoad * largeShare, workMs: 40 + (random() * 300), priority: 0, surge,
			},
			...weights.map((weight, index) => ({
				name: `small-${index}`, load: usualLoad * (1 - largeShare) * weight / sum, workMs: 40 + (random() * 300), priority: index % priorities, surge: 1,
			})),
		],
	};
}

/** Sums the results of several organisations. */
export function mergeResults(results: readonly ModelResult[]): ModelResult {
	return {
		sentMs: results.reduce((sum, result) => sum + result.sentMs, 0),
		servedMs: results.reduce((sum, result) => sum + result.servedMs, 0),
		sent: results.reduce((sum, result) => sum + result.sent, 0),
		served: results.reduce((sum, result) => sum + result.served, 0),
		waitsMs: results.flatMap(({waitsMs}) => waitsMs),
		expectedMs: results.reduce((sum, result) => sum + result.expectedMs, 0),
	};
}
