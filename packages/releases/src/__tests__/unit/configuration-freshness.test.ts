import {expect} from 'chai';
import fc from 'fast-check';
import {ConfigurationFreshness, type ClockReading} from '../../index.js';

const boundMs = 4700;

type Answer = {
	readonly startedAt: ClockReading;
	/** Version that the store or the peer names, and its age there; undefined until the question has been answered. */
	readonly version: number | undefined;
	readonly ageMs: number;
	/** Node that is asked; undefined for the store. */
	readonly peer: number | undefined;
	readonly process: number;
};

type ModelNode = {
	freshness: ConfigurationFreshness;
	version: number;
	process: number;
	isSuspended: boolean;
	suspendedMs: number;
	jumpedMs: number;
	calls: Answer[];
};

/** The true state: when each version was acknowledged, and what each node's clocks show. */
class World {
	trueNow = 1_000_000;
	/** Total time that suspensions may hide behind backward jumps of the wall clock; the clocks can't tell them apart. */
	suspendedMs = 0;
	jumpedBackMs = 0;
	readonly acknowledgedAt: number[] = [0];
	readonly nodes: readonly ModelNode[];

	constructor(count: number) {
		this.nodes = Array.from({length: count}, () => this.#createNode());
	}

	readClocks({suspendedMs, jumpedMs}: ModelNode): ClockReading {
		return {now: this.trueNow - suspendedMs, wallNow: this.trueNow + jumpedMs};
	}

	replaceProcess(node: ModelNode): void {
		node.process++;
		node.version = 0;
		node.freshness = new ConfigurationFreshness(() => node.version, () => this.readClocks(node));
	}

	advance(ms: number): void {
		this.trueNow += ms;
		this.nodes.filter(({isSuspended}) => isSuspended).forEach(node => {
			node.suspendedMs += ms;
			this.suspendedMs += ms;
		});
	}

	setWallClock(node: ModelNode, ms: number): void {
		node.jumpedMs += ms;
		this.jumpedBackMs += Math.max(0, -ms);
	}

	/** The store or the peer works out its answer now; it is delivered later, if ever. */
	answer(node: ModelNode, index: number): void {
		const call = node.calls[index];
		if (call?.version !== undefined || call === undefined) {
			return;
		}

		const peer = call.peer === undefined ? undefined : this.nodes[call.peer]!;
		if (!peer) {
			node.calls[index] = {...call, version: this.acknowledgedAt.length - 1};
		} else if (!peer.isSuspended) {
			const {now, wallNow} = this.readClocks(peer);
			const ageMs = peer.freshness.getAgeMs(now, wallNow);
			node.calls[index] = {...call, version: Number.isFinite(ageMs) ? peer.version : undefined, ageMs};
		}
	}

	/** Delivers an answer to the process that asked, in any order. */
	handleAnswer(node: ModelNode, index: number): void {
		const [call] = node.calls.splice(index, 1);
		if (call?.version !== undefined && call.process === node.process) {
			node.freshness.recordProof(call.startedAt, call.version, call.ageMs);
		}
	}

	/** True if no version above the node's own was acknowledged longer ago than the age that the node states, so that every bound on it holds. */
	isKept(node: ModelNode): boolean {
		const next = this.acknowledgedAt[node.version + 1];
		const hiddenMs = Math.min(this.suspendedMs, this.jumpedBackMs);
		const {now, wallNow} = this.readClocks(node);
		return node.isSuspended || next === undefined || this.trueNow - next <= node.freshness.getAgeMs(now, wallNow) + hiddenMs;
	}

	#createNode(): ModelNode {
		const node: ModelNode = {
			freshness: new ConfigurationFreshness(() => node.version, () => this.readClocks(node)),
			version: 0, process: 0, isSuspended: false, suspendedMs: 0, jumpedMs: 0, calls: [],
		};
		return node;
	}
}

const nodeCount = 3;
const nodeIndex = fc.nat({max: nodeCount - 1});
const callIndex = fc.nat({max: 3});

type Step = (world: World) => void;

const stepsOfAllModes: ReadonlyArray<fc.Arbitrary<Step>> = [
	fc.oneof(fc.integer({min: 1, max: 400}), fc.integer({min: 1, max: 3000})).map(ms => world => {
		world.advance(ms);
	}),
	fc.constant<Step>(world => {
		world.acknowledgedAt.push(world.trueNow);
	}),
	fc.tuple(nodeIndex, fc.constantFrom(0, 0, 0, 1, 2)).map(([index, behind]) => ({nodes, acknowledgedAt}) => {
		const node = nodes[index]!;
		node.version = node.isSuspended ? node.version : Math.max(node.version, acknowledgedAt.length - 1 - behind);
	}),
	fc.tuple(nodeIndex, fc.option(nodeIndex, {nil: undefined})).map(([index, peer]) => world => {
		const node = world.nodes[index]!;
		if (!node.isSuspended && peer !== index) {
			node.calls.push({
				startedAt: node.freshness.readClocks(), version: undefined, ageMs: 0, peer, process: node.process,
			});
		}
	}),
	fc.tuple(nodeIndex, callIndex).map(([index, call]) => world => {
		world.answer(world.nodes[index]!, call);
	}),
	fc.tuple(nodeIndex, callIndex).map(([index, call]) => world => {
		if (!world.nodes[index]!.isSuspended) {
			world.handleAnswer(world.nodes[index]!, call);
		}
	}),
	// A whole question at once, so that many runs hold proofs.
	...Array.from({length: 4}, () => fc.tuple(nodeIndex, fc.option(nodeIndex, {nil: undefined})).map(([index, peer]): Step => world => {
		const node = world.nodes[index]!;
		if (!node.isSuspended && peer !== index) {
			node.calls.push({
				startedAt: node.freshness.readClocks(), version: undefined, ageMs: 0, peer, process: node.process,
			});
			world.answer(node, node.calls.length - 1);
			world.handleAnswer(node, node.calls.length - 1);
		}
	})),
	nodeIndex.map(index => world => {
		world.replaceProcess(world.nodes[index]!);
	}),
];
const suspension: fc.Arbitrary<Step> = nodeIndex.map(index => ({nodes}) => {
	nodes[index]!.isSuspended = !nodes[index]!.isSuspended;
});
const jump: fc.Arbitrary<Step> = fc.tuple(nodeIndex, fc.oneof(fc.integer({min: -600, max: 600}), fc.integer({min: -20_000, max: 20_000}))).map(([index, ms]) => world => {
	world.setWallClock(world.nodes[index]!, ms);
});

describe('the freshness of a configuration', () => {
	// Whenever a node holds itself proven, it must not lack a configuration that was acknowledged longer ago than the bound.
	const modes: ReadonlyArray<readonly [string, ReadonlyArray<fc.Arbitrary<Step>>]> = [
		['orders of events, freezes, delayed answers and restarts', []],
		['suspensions of hosts', [suspension]],
		['jumps of wall clocks in both directions', [jump]],
		['suspensions and jumps together, but for the time that they hide from each other', [suspension, jump]],
	];
	modes.forEach(([title, steps]) => {
		it(`is never overstated under ${title}`, () => {
			let provenCount = 0;
			fc.assert(fc.property(fc.array(fc.oneof(...stepsOfAllModes, ...steps), {minLength: 20, maxLength: 80}), run => {
				const world = new World(nodeCount);
				return run.every(step => {
					step(world);
					provenCount += world.nodes.filter(({freshness}) => freshness.isProven(boundMs)).length;
					return world.nodes.every(node => world.isKept(node));
				});
			}), {seed: 41, numRuns: 1500});
			// Guards against a model in which nothing is ever proven.
			expect(provenCount).to.be.above(10_000);
		});
	});

	describe('of one node', () => {
		let clocks: ClockReading;
		let version: number;
		let freshness: ConfigurationFreshness;

		const advance = (ms: number, wallMs = ms): void => {
			clocks = {now: clocks.now + ms, wallNow: clocks.wallNow + wallMs};
		};

		const getAgeMs = (): number => freshness.getAgeMs(clocks.now, clocks.wallNow);

		beforeEach(() => {
			clocks = {now: 1000, wallNow: 1_790_000_000_000};
			version = 5;
			freshness = new ConfigurationFreshness(() => version, () => clocks);
		});

		it('is not proven at the start', () => {
			expect(getAgeMs()).to.equal(Number.POSITIVE_INFINITY);
			expect(freshness.isProven(1e9)).to.equal(false);
		});

		it('counts from the start of a call, and from before a question by the age in its answer', () => {
			const startedAt = freshness.readClocks();
			advance(300);
			freshness.recordProof(startedAt, 5, 800);
			expect(getAgeMs()).to.equal(1100);
			freshness.recordProof(startedAt, 5);
			expect(getAgeMs()).to.equal(300);
			freshness.recordProof(startedAt, 5, 100);
			expect(getAgeMs()).to.equal(300);
			expect([freshness.isProven(299), freshness.isProven(300)]).to.deep.equal([false, true]);
		});

		it('counts a proof for a later version once the node has that version, and an older one until then', () => {
			freshness.recordProof(clocks, 5);
			advance(400);
			freshness.recordProof(clocks, 6);
			advance(100);
			expect(getAgeMs()).to.equal(500);
			version = 6;
			expect(getAgeMs()).to.equal(100);
		});

		it('keeps the proof in force and the newest of many for later versions', () => {
			freshness.recordProof(clocks, 5);
			Array.from({length: 100}, (_, index) => index).forEach(index => {
				advance(10);
				freshness.recordProof(clocks, 6 + index);
			});
			expect(getAgeMs()).to.equal(1000);
			version = 105;
			expect(getAgeMs()).to.equal(0);
		});

		it('includes the time of a short suspension, and drops a proof for good after a long one', () => {
			freshness.recordProof(clocks, 5);
			advance(100, 550);
			expect(getAgeMs()).to.equal(550);
			advance(0, 100);
			expect(getAgeMs()).to.equal(Number.POSITIVE_INFINITY);
			advance(0, -100);
			expect(getAgeMs()).to.equal(Number.POSITIVE_INFINITY);
			freshness.recordProof(clocks, 5);
			expect(getAgeMs()).to.equal(0);
		});

		it('is not proven after all proofs are dropped', () => {
			freshness.recordProof(clocks, 5);
			freshness.clear();
			expect(freshness.isProven(boundMs)).to.equal(false);
		});
	});
});
