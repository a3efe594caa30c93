/** Finds members that do not answer: direct probe, probes through others, suspicion, death. */
import {type Address} from '@limpetbarrow/core';
import {
	indirectProbes, probePeriodMs, probeTimeoutMs, suspicionPeriods,
} from './constants.js';
import {
	createSender, listPeers, type Dissemination, type MembershipContext,
} from './dissemination.js';
import {type LocalHealth} from './local-health.js';
import {type AckMessage, type IndirectMessage, type PingMessage} from './message.js';
import {selectProbed} from './peer-choice.js';
import {pickSome, ProbeSchedule} from './probe-schedule.js';
import {type MemberStatus} from './types.js';

type Probe = {
	readonly id: string;
	readonly address: Address;
	readonly sequence: number;
	readonly startedAt: number;
	readonly isIndirect: boolean;
	readonly isAnswered: boolean;
};

type Relay = {
	readonly origin: Address;
	readonly sequence: number;
	readonly startedAt: number;
};

const relayTimeoutMs = 2000;
const maxRelays = 256;
const sweepPeriodMs = 500;
const minOthersToTrust = 2;

/** Time a suspicion lasts in a fleet of `members`, in milliseconds. */
export function computeSuspicionMs(members: number): number {
	return suspicionPeriods * Math.max(1, Math.log10(members + 1)) * probePeriodMs;
}

/** Probes one member a period. */
export class Prober {
	readonly #context: MembershipContext;
	readonly #dissemination: Dissemination;
	readonly #health: LocalHealth;
	readonly #schedule: ProbeSchedule;
	readonly #reportStatus: (id: string, status: MemberStatus) => void;
	#relays: ReadonlyMap<number, Relay> = new Map();
	#probe: Probe | undefined;
	#sequence = 0;
	#nextProbeAt = performance.now();
	#nextSweepAt = performance.now();
	#heardAt = performance.now();

	constructor(context: MembershipContext, dissemination: Dissemination, health: LocalHealth, reportStatus: (id: string, status: MemberStatus) => void) {
		this.#context = context;
		this.#dissemination = dissemination;
		this.#health = health;
		this.#schedule = new ProbeSchedule(context.pickNext);
		this.#reportStatus = reportStatus;
	}

	/** Notes that some member was heard. */
	recordHeard(): void {
		this.#heardAt = performance.now();
	}

	/** Gives up the probe under way without a verdict, after a pause of this node. */
	clear(): void {
		this.#probe = undefined;
		this.#heardAt = performance.now();
		this.#nextProbeAt = performance.now() + probePeriodMs;
	}

	runStep(): void {
		const now = performance.now();
		this.#checkTimeout(now);
		if (now >= this.#nextProbeAt) {
			this.#finishProbe();
			this.#startProbe(now);
		}

		if (now >= this.#nextSweepAt) {
			this.#nextSweepAt = now + sweepPeriodMs;
			this.#sweepSuspects(now);
			this.#relays = new Map([...this.#relays].filter(([, {startedAt}]) => now - startedAt < relayTimeoutMs));
		}
	}

	/** Asks whether a node is there, without a verdict when it does not answer. */
	probe(address: Address): void {
		this.#sendPing(address, 0);
	}

	handlePing({sequence}: PingMessage, from: Address): void {
		this.#sendAck(from, sequence);
	}

	handleIndirect({sequence, target}: IndirectMessage, from: Address): void {
		if (this.#relays.size < maxRelays) {
			const own = this.#pickSequence();
			this.#relays = new Map(this.#relays).set(own, {origin: from, sequence, startedAt: performance.now()});
			this.#sendPing(target, own);
		}
	}

	handleAck({sequence}: AckMessage): void {
		const relay = this.#relays.get(sequence);
		if (relay) {
			this.#relays = new Map([...this.#relays].filter(([key]) => key !== sequence));
			this.#sendAck(relay.origin, relay.sequence);
		} else if (this.#probe?.sequence === sequence && !this.#probe.isAnswered) {
			this.#probe = {...this.#probe, isAnswered: true};
			this.#health.add(-1);
			this.#context.table.setUnheard(this.#probe.id, false);
		}
	}

	#pickSequence(): number {
		this.#sequence++;
		return this.#sequence;
	}

	#sendPing(address: Address, sequence: number): void {
		const {table, transport} = this.#context;
		transport.send(address, {
			kind: 'ping', sender: createSender(table), sequence, updates: this.#dissemination.takePiggyback(),
		});
	}

	#sendAck(address: Address, sequence: number): void {
		const {table, transport} = this.#context;
		transport.send(address, {
			kind: 'ack', sender: createSender(table), sequence, updates: this.#dissemination.takePiggyback(),
		});
	}

	#startProbe(now: number): void {
		const {table} = this.#context;
		const ids = new Set(table.listLive().map(({record}) => record.id).filter(id => id !== table.self.id));
		const id = this.#schedule.pick(ids, candidates => selectProbed(table, candidates));
		const member = id === undefined ? undefined : table.findMember(id);
		this.#nextProbeAt = now + (probePeriodMs * this.#health.getFactor());
		if (!member) {
			this.#probe = undefined;
			return;
		}

		this.#probe = {
			id: member.record.id, address: member.record.gossipAddress, sequence: this.#pickSequence(), startedAt: now, isIndirect: false, isAnswered: false,
		};
		this.#sendPing(this.#probe.address, this.#probe.sequence);
	}

	#checkTimeout(now: number): void {
		const probe = this.#probe;
		if (!probe || probe.isAnswered || probe.isIndirect || now - probe.startedAt < probeTimeoutMs * this.#health.getFactor()) {
			return;
		}

		this.#probe = {...probe, isIndirect: true};
		const {table, transport, pickNext} = this.#context;
		const others = table.listLive()
			.filter(({record, status}) => status === 'alive' && record.id !== table.self.id && record.id !== probe.id)
			.map(({record}) => record.gossipAddress);
		pickSome(others, indirectProbes, pickNext).forEach(address => {
			transport.send(address, {
				kind: 'indirect', sender: createSender(table), sequence: probe.sequence, target: probe.address,
			});
		});
	}

	#finishProbe(): void {
		const probe = this.#probe;
		if (!probe || probe.isAnswered) {
			return;
		}

		const {table} = this.#context;
		const isDeaf = this.#heardAt < probe.startedAt && listPeers(table).length >= minOthersToTrust;
		this.#health.add(1);
		if (isDeaf) {
			table.setUnheard(probe.id, true);
		} else {
			this.#judge(probe.id, 'suspect');
		}
	}

	#sweepSuspects(now: number): void {
		const {entries} = this.#context.table.store.getState();
		const bound = computeSuspicionMs(entries.size) * this.#health.getFactor();
		[...entries.values()]
			.filter(({status, statusAt}) => status === 'suspect' && now - statusAt > bound)
			.forEach(({id}) => {
				this.#judge(id, 'dead');
			});
	}

	#judge(id: string, status: MemberStatus): void {
		const entry = this.#context.table.findEntry(id);
		if (!entry) {
			return;
		}

		const {incarnation, refutation} = entry;
		const news = this.#context.table.applyUpdates([{
			kind: 'status', id, incarnation, refutation, status,
		}]);
		news.forEach(update => {
			this.#dissemination.add(update);
			this.#reportStatus(id, status);
		});
	}
}
