/** A fleet of members in one process, for tests with fake time. */
import {type Address, type NodeRecord, type ServerRecord} from '@limpetbarrow/core';
import {
	gossipPeriodMs, Membership, MemberTable, MemoryNetwork, type MemberSnapshot, type MemberStatus, type MemoryTransport, type ReceivedMessage,
} from '../index.js';

/** One member of the fleet. */
export type FleetMember = {
	readonly table: MemberTable;
	readonly membership: Membership;
	readonly transport: MemoryTransport;
	readonly address: Address;
};

/** Creates a random number generator for [0, 1); the same seed gives the same sequence. */
export function createRandom(seed: number): () => number {
	let state = seed;
	return () => {
		state = (state * 48_271) % 2_147_483_647;
		return state / 2_147_483_647;
	};
}

export function createServer(id: string, change: Partial<ServerRecord> = {}): ServerRecord {
	return {
		id, service: 'catalogue', slots: 3, state: 'ready', generation: 1, badness: 0, ...change,
	};
}

export function createNodeRecord(id: string, change: Partial<NodeRecord> = {}): NodeRecord {
	const address = {host: id, port: 1};
	return {
		id,
		incarnation: 1,
		sequence: 1,
		placement: {region: 'volta', failureDomain: 'volta-1'},
		linkAddress: address,
		gossipAddress: address,
		ingressAddress: address,
		adminAddress: address,
		state: 'serving',
		release: 1,
		servers: [],
		poison: [],
		...change,
	};
}

function selectIds({members}: MemberSnapshot, statuses: readonly MemberStatus[]): readonly string[] {
	return [...members.values()].filter(({status}) => statuses.includes(status)).map(({record}) => record.id);
}

/** Members on one simulated network. Tests can block paths, lose messages, and pause, crash and restart members. */
export class MemoryFleet {
	readonly members = new Map<string, FleetMember>();
	/** Blocked paths as `from>to`, on which every message is lost. `*` on one side stands for any member. */
	readonly cuts = new Set<string>();
	/** Paused members with the messages that they will receive when they are resumed. */
	readonly paused = new Map<string, ReceivedMessage[]>();
	/** Seeds that all members share; tests may clear the list. */
	readonly seeds: Address[] = [];
	loss = 0;
	sent = 0;
	readonly #getRandomNumber: () => number;
	readonly #network: MemoryNetwork;
	readonly #timers = new Map<string, NodeJS.Timeout>();

	constructor(seed: number) {
		this.#getRandomNumber = createRandom(seed);
		this.#network = new MemoryNetwork(({host: from}, {host: to}) => {
			this.sent++;
			const isCut = [`${from}>${to}`, `${from}>*`, `*>${to}`].some(cut => this.cuts.has(cut));
			return isCut || this.#getRandomNumber() < this.loss ? undefined : 30;
		});
	}

	async add(id: string, change: Partial<NodeRecord> = {}): Promise<FleetMember> {
		const record = createNodeRecord(id, change);
		const table = new MemberTable(record);
		const transport = this.#network.createTransport();
		const address = await transport.open(record.gossipAddress);
		const membership = new Membership({
			table, transport, seeds: this.seeds, getRandomNumber: this.#getRandomNumber,
		});
		transport.messages.registerListener(received => {
			const pending = this.paused.get(id);
			if (pending) {
				pending.push(received);
			} else {
				membership.handleMessage(received);
			}
		});
		this.#timers.set(id, setInterval(() => {
			if (!this.paused.has(id)) {
				membership.runStep();
			}
		}, gossipPeriodMs));
		const member = {
			table, membership, transport, address,
		};
		this.members.set(id, member);
		return member;
	}

	async addAll(count: number, change: Partial<NodeRecord> = {}): Promise<void> {
		this.seeds.push({host: 'n0', port: 1});
		await Promise.all(Array.from({length: count}, async (_, index) => this.add(`n${index}`, change)));
	}

	crash(id: string): void {
		clearInterval(this.#timers.get(id));
		this.members.get(id)?.transport.close();
		this.members.delete(id);
	}

	pause(id: string): void {
		this.paused.set(id, []);
	}

	resume(id: string): void {
		const pending = this.paused.get(id) ?? [];
		this.paused.delete(id);
		const member = this.members.get(id);
		member?.membership.runStep();
		pending.forEach(received => member?.membership.handleMessage(received));
	}

	/** Lists the status of `id` as each other running member sees it. */
	listStatuses(id: string): ReadonlyArray<MemberStatus | undefined> {
		return [...this.members].filter(([viewer]) => viewer !== id).map(([, {table}]) => table.findMember(id)?.status);
	}

	/** Collects the ids of members that any member but `viewer` sees in one of `statuses` from now on. */
	watchStatuses(statuses: readonly MemberStatus[], viewer = ''): ReadonlySet<string> {
		const found = new Set<string>();
		const viewers = [...this.members].filter(([id]) => id !== viewer);
		viewers.forEach(([, {table}]) => {
			table.store.registerListener(({after}) => {
				selectIds(after, statuses).forEach(id => {
					found.add(id);
				});
			});
		});
		return found;
	}

	/** Blocks every path between two groups, in both directions. */
	removePaths(left: readonly string[], right: readonly string[]): void {
		left.flatMap(one => right.flatMap(other => [`${one}>${other}`, `${other}>${one}`])).forEach(cut => {
			this.cuts.add(cut);
		});
	}

	close(): void {
		[...this.members.keys()].forEach(id => {
			this.crash(id);
		});
	}
}
