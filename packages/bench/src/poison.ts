/** Benchmark `poison`: servers crashed by one request that its caller sends again and again, with and without the quarantine. */
import process from 'node:process';
import {type PoisonMark} from '@limpetbarrow/core';
import {
	crashesBeforeQuarantine, isPoison, mergePoisonMarks, PoisonRegister,
} from '@limpetbarrow/detect';
import {createRandom, pickExponential} from './seeded-random.js';

const serverCount = 12;
const slots = 3;
const restartMs = 10_000;
const resendMs = 1000;
const spreadMs = 2000;
const endMs = 300_000;
const innocentRatePerMs = 0.06;
const innocentDurationMs = 200;
/** Share of innocent requests that many callers send alike; the others are each unlike any other. */
const popularShare = 0.5;
const popularCount = 50;
const seeds = [31, 32, 33, 34, 35] as const;
/** Servers that may crash after the second one: those that ran the request before its marks had spread. */
const maxCrashes = crashesBeforeQuarantine + Math.ceil(spreadMs / resendMs);

type Running = {
	readonly fingerprint: string;
	readonly endsAt: number;
};

type PublishedMark = PoisonMark & {
	readonly visibleAt: number;
};

type PoisonResult = {
	readonly crashes: number;
	readonly innocentsBroken: number;
	readonly innocentsRefused: number;
	readonly innocents: number;
	readonly downShare: number;
};

/** Twelve servers behind as many nodes; marks reach the other nodes after a while. */
class PoisonModel {
	readonly #random: () => number;
	readonly #hasQuarantine: boolean;
	readonly #nodes = Array.from({length: serverCount}, () => new PoisonRegister());
	readonly #running: Array<readonly Running[]> = Array.from({length: serverCount}, () => []);
	readonly #downUntil: number[] = Array.from({length: serverCount}, () => 0);
	#published: readonly PublishedMark[] = [];
	#crashes = 0;
	#broken = 0;
	#refused = 0;
	#innocents = 0;
	#downMs = 0;

	constructor(hasQuarantine: boolean, seed: number) {
		this.#hasQuarantine = hasQuarantine;
		this.#random = createRandom(seed);
	}

	run(): PoisonResult {
		let now = 0;
		let poisonAt = 30_000;
		while (now < endMs) {
			now += pickExponential(this.#random) / innocentRatePerMs;
			if (now >= poisonAt) {
				this.#sendPoison(poisonAt);
				poisonAt += resendMs;
			}

			this.#sendInnocent(now);
		}

		return {
			crashes: this.#crashes,
			innocentsBroken: this.#broken,
			innocentsRefused: this.#refused,
			innocents: this.#innocents,
			downShare: this.#downMs / (endMs * serverCount),
		};
	}

	#pickServer(now: number): number | undefined {
		const up = this.#downUntil.map((until, server) => ({until, server})).filter(({until}) => until <= now).map(({server}) => server);
		return up[Math.floor(this.#random() * up.length)];
	}

	#isRefused(server: number, fingerprint: string, now: number): boolean {
		if (!this.#hasQuarantine) {
			return false;
		}

		const marks = [...this.#published.filter(({visibleAt}) => visibleAt <= now), ...this.#nodes[server]!.listMarks(now)];
		const mark = mergePoisonMarks(marks.filter(known => known.fingerprint === fingerprint), now).get(fingerprint);
		return mark !== undefined && isPoison(mark);
	}

	#sendPoison(now: number): void {
		const server = this.#pickServer(now);
		if (server === undefined || this.#isRefused(server, 'poison', now)) {
			return;
		}

		this.#crashes++;
		this.#downMs += restartMs;
		this.#downUntil[server] = now + restartMs;
		const register = this.#nodes[server]!;
		const cutOff = this.#running[server]!.filter(({endsAt}) => endsAt > now);
		this.#running[server] = [];
		this.#broken += cutOff.length;
		['poison', ...cutOff.map(({fingerprint}) => fingerprint)].forEach(fingerprint => {
			register.recordBrokenConnection(`server-${server}`, fingerprint, now);
		});
		register.recordCrash(`server-${server}`, now);
		const marks = register.listMarks(now).map(mark => ({...mark, visibleAt: now + spreadMs}));
		this.#published = [...this.#published, ...marks].filter(({expiresAt}) => expiresAt > now);
	}

	#sendInnocent(now: number): void {
		this.#innocents++;
		const server = this.#pickServer(now);
		if (server === undefined) {
			return;
		}

		this.#finishRuns(server, now);
		const isPopular = this.#random() < popularShare;
		const fingerprint = isPopular ? `popular-${Math.floor(this.#random() * popularCount)}` : `single-${this.#innocents}`;
		if (this.#isRefused(server, fingerprint, now)) {
			this.#refused++;
		} else if (this.#running[server]!.length < slots) {
			this.#running[server] = [...this.#running[server]!, {fingerprint, endsAt: now + innocentDurationMs}];
		}
	}

	#finishRuns(server: number, now: number): void {
		const running = this.#running[server]!;
		running.filter(({endsAt}) => endsAt <= now).forEach(({fingerprint}) => {
			this.#nodes[server]!.recordAnswer(fingerprint, now);
		});
		this.#running[server] = running.filter(({endsAt}) => endsAt > now);
	}
}

function simulatePoison(hasQuarantine: boolean): readonly PoisonResult[] {
	return seeds.map(seed => new PoisonModel(hasQuarantine, seed).run());
}

function writeResults(name: string, results: readonly PoisonResult[]): void {
	results.forEach(({crashes, innocentsBroken, innocentsRefused, innocents, downShare}, index) => {
		const cells = [seeds[index], crashes, innocentsBroken, innocentsRefused, innocents, `${(downShare * 100).toFixed(2)}%`];
		process.stdout.write(`${name.padEnd(12)}${cells.map(cell => String(cell).padStart(12)).join('')}\n`);
	});
}

/** Runs the benchmark. */
export async function measurePoison(): Promise<number> {
	process.stdout.write(`${serverCount} servers; the request is sent again each ${resendMs / 1000} s for ${(endMs / 1000) - 30} s; `);
	process.stdout.write(`marks spread in ${spreadMs / 1000} s; a server restarts in ${restartMs / 1000} s\n`);
	process.stdout.write(`${'quarantine'.padEnd(12)}${['seed', 'crashes', 'cut off', 'refused', 'innocent', 'down'].map(title => title.padStart(12)).join('')}\n`);
	const without = simulatePoison(false);
	const withQuarantine = simulatePoison(true);
	writeResults('off', without);
	writeResults('on', withQuarantine);
	const isBounded = withQuarantine.every(({crashes, innocentsRefused}) => crashes <= maxCrashes && innocentsRefused === 0);
	process.stdout.write(`at most ${maxCrashes} crashes and no innocent request refused: ${isBounded ? 'yes' : 'NO'}\n`);
	return isBounded ? 0 : 1;
}
