/** Benchmark of membership up to the size of two years from now, in one process with fake time. */
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {install, type Clock} from '@sinonjs/fake-timers';
import {
	decodeMessage, encodeMessage, MemberTable, selectChangedParts, type MemberSnapshot,
} from '@limpetbarrow/members';
import {createNodeRecord, MemberFleet, type FleetMember} from './member-fleet.js';

/** Bounds from the stated targets. */
const targets = {
	leaveMs: 3000, releaseMs: 6000, bytesPerSecond: 3000, coreShare: 0.035, memoryBytes: 32_000_000,
} as const;

const defaultSizes = [90, 240, 730];
const sizes = process.env.MEMBERSHIP_SIZES?.split(',').map(Number) ?? defaultSizes;
const serversPerNode = 16;
const restartsPerNodeDay = 2200 / 730;
const secondsPerDay = 86_400;
const heartbeatBytes = 70;
const pollMs = 50;
const coarsePollMs = 1000;
const msPerS = 1000;
const usPerS = 1_000_000;

type Row = {
	readonly name: string;
	readonly value: number;
	readonly unit: string;
	/** Highest value that meets the target; undefined where none is stated. */
	readonly bound?: number;
};

type Condition = () => boolean;

/** Runs the steps of one size on one fleet. */
class MembershipRun {
	readonly #clock: Clock;
	readonly #nodes: number;
	readonly #fleet: MemberFleet;
	readonly #rows: Row[] = [];

	constructor(clock: Clock, nodes: number) {
		this.#clock = clock;
		this.#nodes = nodes;
		this.#fleet = new MemberFleet({nodes, serversPerNode, seed: 4242 + nodes});
	}

	run(): readonly Row[] {
		this.#fleet.start();
		this.#clock.tick(20_000);
		this.#measureQuiet();
		this.#measureLeave();
		this.#measureRelease();
		this.#measureDeath();
		this.#measureFalseDeaths();
		this.#measureRestarts();
		this.#measureDomain();
		this.#fleet.stop();
		return this.#rows;
	}

	#add(name: string, value: number, unit: string, bound?: number): void {
		const row = {
			name, value, unit, ...(bound !== undefined && {bound}),
		};
		this.#rows.push(row);
		process.stdout.write(`${formatRow(this.#nodes, row)}\n`);
	}

	#list(): readonly FleetMember[] {
		return [...this.#fleet.members.values()];
	}

	/** Lets time pass until the condition holds; the time it took, or the limit. */
	#waitUntil(condition: Condition, limitMs: number, stepMs = pollMs): number {
		const startedAt = performance.now();
		while (!condition() && performance.now() - startedAt < limitMs) {
			this.#clock.tick(stepMs);
		}

		return performance.now() - startedAt;
	}

	#measureTraffic(name: string, seconds: number, bound?: number): void {
		const traffic = this.#fleet.takeTraffic();
		const perSecond = traffic.map(({bytes}) => bytes / seconds);
		const mean = perSecond.reduce((sum, bytes) => sum + bytes, 0) / traffic.length;
		this.#add(`${name}: sent, mean node`, mean, 'B/s', bound);
		this.#add(`${name}: sent, busiest node`, Math.max(...perSecond), 'B/s');
		this.#add(`${name}: messages, mean node`, traffic.reduce((sum, {messages}) => sum + messages, 0) / traffic.length / seconds, '1/s');
	}

	#measureQuiet(): void {
		const seconds = 20;
		this.#fleet.takeTraffic();
		const before = process.cpuUsage();
		this.#clock.tick(seconds * msPerS);
		const {user, system} = process.cpuUsage(before);
		this.#measureTraffic('quiet', seconds, targets.bytesPerSecond);
		this.#add('quiet: processor, mean node', (user + system) / usPerS / seconds / this.#nodes, 'of a core', targets.coreShare);
		this.#add('full mesh of heartbeats a second (computed)', (this.#nodes - 1) * heartbeatBytes, 'B/s');
	}

	#measureLeave(): void {
		this.#fleet.loss = 0.01;
		const times = [0, 1, 2, 3, 4].map(() => {
			const index = this.#fleet.pickIndex();
			const {table} = this.#fleet.members.get(index)!;
			const serverId = table.getSelf().servers[0]!.id;
			table.updateSelf(({servers}) => ({servers: servers.map(server => server.id === serverId ? {...server, state: 'leaving'} : server)}));
			return this.#waitUntil(() => this.#list().every(member => member.table.findMember(`node-${index}`)?.record.servers.some(({id, state}) => id === serverId && state === 'leaving')), 30_000);
		});
		this.#fleet.loss = 0;
		this.#add('leave known everywhere, worst of 5 at 1% loss', Math.max(...times), 'ms', targets.leaveMs);
	}

	#measureRelease(): void {
		this.#fleet.loss = 0.01;
		const release = 2;
		this.#fleet.takeTraffic();
		const undo = this.#list().map(({table}) => table.store.registerListener(({after}) => {
			if (table.getSelf().release < release && [...after.members.values()].some(({record}) => record.release >= release)) {
				table.updateSelf(() => ({release}));
			}
		}));
		this.#fleet.members.get(this.#fleet.pickIndex())!.table.updateSelf(() => ({release}));
		const elapsed = this.#waitUntil(() => this.#list().every(({table}) => table.getSelf().release >= release), 60_000);
		this.#add('release known everywhere at 1% loss', elapsed, 'ms', targets.releaseMs);
		const status = this.#waitUntil(() => this.#list().every(({table}) => table.listLive().every(({record}) => record.release >= release)), 300_000, coarsePollMs);
		this.#add('every node knows the release of every other', elapsed + status, 'ms');
		this.#measureTraffic('release', (elapsed + status) / msPerS);
		undo.forEach(unregister => {
			unregister();
		});
		this.#fleet.loss = 0;
	}

	#measureDeath(): void {
		const index = this.#fleet.pickIndex();
		const {incarnation} = this.#fleet.members.get(index)!.table.self;
		this.#fleet.crash(index);
		const isSeen = (statuses: readonly string[]): boolean => this.#list().every(({table}) => statuses.includes(table.findMember(`node-${index}`)?.status ?? 'dead'));
		const suspected = this.#waitUntil(() => isSeen(['suspect', 'dead']), 120_000);
		const dead = this.#waitUntil(() => isSeen(['dead']), 120_000);
		this.#add('crash: no node offers it work any more', suspected, 'ms');
		this.#add('crash: dead everywhere', suspected + dead, 'ms');
		this.#fleet.add(index, incarnation + 1);
		const joined = this.#waitUntil(() => this.#fleet.members.get(index)!.table.listLive().length === this.#nodes, 300_000);
		this.#add('restart: newcomer knows all records', joined, 'ms');
		this.#clock.tick(20_000);
	}

	#measureFalseDeaths(): void {
		const dead = new Set<string>();
		const undo = this.#list().map(({table}) => table.store.registerListener(({before, after}) => {
			[...after.entries.values()]
				.filter(entry => entry.status === 'dead' && before.entries.get(entry.id)?.status !== 'dead')
				.forEach(({id, refutation}) => {
					dead.add(`${id}/${refutation}`);
				});
		}));
		[0.01, 0.05].forEach(loss => {
			dead.clear();
			this.#fleet.loss = loss;
			this.#runFaults(30);
			this.#add(`false deaths in 30 s at ${loss * 100}% loss, pauses of 3 s, one-way cuts`, dead.size, 'nodes', 0);
		});
		this.#fleet.loss = 0;
		this.#fleet.cuts.clear();
		this.#clock.tick(20_000);
		undo.forEach(unregister => {
			unregister();
		});
	}

	#runFaults(seconds: number): void {
		const pauseS = 3;
		Array.from({length: seconds / pauseS}).forEach(() => {
			const paused = new Set(Array.from({length: Math.ceil(this.#nodes / 100)}, () => this.#fleet.pickIndex()));
			this.#fleet.cuts.add(`${this.#fleet.pickIndex()}>${this.#fleet.pickIndex()}`);
			paused.forEach(index => {
				this.#fleet.pause(index);
			});
			this.#clock.tick(pauseS * msPerS);
			paused.forEach(index => {
				this.#fleet.resume(index);
			});
		});
	}

	#measureRestarts(): void {
		const periodMs = (secondsPerDay * msPerS) / (restartsPerNodeDay * this.#nodes);
		const restarts = Math.max(1, Math.round(60_000 / periodMs));
		this.#fleet.takeTraffic();
		const before = process.cpuUsage();
		Array.from({length: restarts}).forEach((_, count) => {
			const index = this.#fleet.pickIndex();
			this.#fleet.members.get(index)!.membership.leave();
			this.#fleet.crash(index);
			this.#clock.tick(2000);
			this.#fleet.add(index, 1000 + count);
			this.#clock.tick(periodMs - 2000);
		});
		const {user, system} = process.cpuUsage(before);
		const seconds = restarts * periodMs / msPerS;
		this.#measureTraffic('2,200 restarts a day at 730 nodes', seconds, targets.bytesPerSecond);
		this.#add('2,200 restarts a day at 730 nodes: processor, mean node', (user + system) / usPerS / seconds / this.#nodes, 'of a core', targets.coreShare);
	}

	#measureDomain(): void {
		this.#fleet.isDecoding = false;
		const lost = this.#list().filter(({index}) => index % 4 === 3).map(({index}) => index);
		lost.forEach(index => {
			this.#fleet.crash(index);
		});
		this.#fleet.takeTraffic();
		const live = this.#nodes - lost.length;
		const gone = this.#waitUntil(() => this.#list().every(({table}) => table.listLive().length === live), 300_000, coarsePollMs);
		this.#add('failure domain lost: dead everywhere', gone, 'ms');
		this.#measureTraffic('failure domain lost', gone / msPerS);
		lost.forEach(index => {
			this.#fleet.add(index, 5000);
		});
		const countWhole = (table: MemberTable): number => table.listLive().filter(({status, record}) => status === 'alive' && record.servers.length === serversPerNode).length;
		const isKnown = (): boolean => this.#list().every(({table}) => countWhole(table) === this.#nodes);
		const back = this.#waitUntil(isKnown, 600_000, coarsePollMs);
		this.#add('failure domain back at once: all know all', back, 'ms');
		this.#measureTraffic('failure domain back at once', back / msPerS);
	}
}

/** Memory that the records of a fleet take in one node, in bytes. */
function measureMemory(nodes: number): number {
	setFlagsFromString('--expose-gc');
	const collect = runInNewContext('gc') as () => void;
	collect();
	const before = process.memoryUsage().heapUsed;
	const snapshot = loadTable(nodes);
	collect();
	const bytes = process.memoryUsage().heapUsed - before;
	return snapshot.members.size === nodes ? bytes : Number.NaN;
}

function loadTable(nodes: number): MemberSnapshot {
	const table = new MemberTable(createNodeRecord(0, serversPerNode, 0));
	Array.from({length: nodes}, (_, index) => createNodeRecord(index, serversPerNode, 0)).forEach(record => {
		const {id, incarnation} = record;
		const updates = selectChangedParts(record, [], 1).map(part => ({
			kind: 'part', id, incarnation, part,
		} as const));
		const bytes = encodeMessage({kind: 'parts', sender: {id, incarnation, refutation: 0}, updates});
		const message = decodeMessage(bytes).unsafeCoerce();
		table.applyUpdates(message.kind === 'parts' ? message.updates : []);
	});
	return table.store.getState();
}

function formatRow(nodes: number, {name, value, unit, bound}: Row): string {
	const verdict = bound === undefined ? '' : (value <= bound ? `  ok (at most ${bound})` : `  FAILED (at most ${bound})`);
	return `${String(nodes).padStart(4)}  ${name.padEnd(72)} ${value.toFixed(value < 10 ? 4 : 0).padStart(9)} ${unit}${verdict}`;
}

function measureSize(nodes: number): readonly Row[] {
	const memory: Row = {
		name: 'memory of all records in one node', value: measureMemory(nodes), unit: 'B', bound: targets.memoryBytes,
	};
	process.stdout.write(`${formatRow(nodes, memory)}\n`);
	const clock = install({now: 1_790_000_000_000});
	try {
		return [
			memory,
			...new MembershipRun(clock, nodes).run(),
		];
	} finally {
		clock.uninstall();
	}
}

/** Measures membership at several sizes; 1 when a bound from the stated targets does not hold. */
export async function measureMembership(): Promise<number> {
	const isMet = sizes.map(nodes => {
		const rows = measureSize(nodes);
		return rows.every(({value, bound}) => bound === undefined || value <= bound);
	});
	return isMet.every(Boolean) ? 0 : 1;
}
