/** Failure detector as in SWIM: a direct probe, then indirect probes through other members, then suspicion, then death. */
import {type Address} from '@limpetbarrow/core';
import {
	maxIndirectProbers, probePeriodMs, probeTimeoutMs, suspicionProbePeriods,
} from './constants.js';
import {
	createSender, listPeers, type Dissemination, type MembershipContext,
} from './dissemination.js';
import {type LocalHealth} from './local-health.js';
import {type AckMessage, type IndirectMessage, type PingMessage} from './message.js';
import {selectProbeCycle} from './peer-choice.js';
import {pickSample, ProbeSchedule} from './probe-schedule.js';
import {type MemberStatus} from './types.js';

type Probe = {
	readonly id: string;
	readonly address: Address;
	readonly sequence: number;
	readonly startedAt: number;
	readonly isIndirect: boolean;
	readonly isAnswered: boolean;
};

/** A ping that this node sends on behalf of another member. */
type Relay = {
	readonly origin: Address;
	readonly sequence: number;
	readonly startedAt: number;
};

const relayTimeoutMs = 2000;
const maxRelays = 256;
const suspectSweepPeriodMs = 500;
const minPeersToDetectIsolation = 2;

/** Computes how long a member stays suspect before it is declared dead, in milliseconds; `memberCount` is the fleet's size. */
export function computeSuspicionMs(memberCount: number): number {
	return suspicionProbePeriods * Math.max(1, Math.log10(memberCount + 1)) * probePeriodMs;
}

/** Probes one member in each probe period. */
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
	#lastMessageAt = performance.now();

	constructor(context: MembershipContext, dissemination: Dissemination, health: LocalHealth, reportStatus: (id: string, status: MemberStatus) => void) {
		this.#context = context;
		this.#dissemination = dissemination;
		this.#health = health;
		this.#schedule = new ProbeSchedule(context.getRandomNumber);
		this.#reportStatus = reportStatus;
	}

	/** Records that a message of any other member arrived. */
	recordMessageReceived(): void {
		this.#lastMessageAt = performance.now();
	}

	/** Cancels the current probe without suspecting its target, because this node was paused meanwhile. */
	cancelProbe(): void {
		this.#probe = undefined;
		this.#lastMessageAt = performance.now();
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
			this.#nextSweepAt = now + suspectSweepPeriodMs;
			this.#sweepSuspects(now);
			this.#relays = new Map([...this.#relays].filter(([, {startedAt}]) => now - startedAt < relayTimeoutMs));
		}
	}

	/** Pings a node; if it does not answer, its status stays as it is. */
	probe(address: Address): void {
		this.#sendPing(address, 0);
	}

	handlePing({sequence}: PingMessage, from: Address): void {
		this.#sendAck(from, sequence);
	}

	/** Pings the target for another member; its ack is forwarded to that member. */
	handleIndirect({sequence, target}: IndirectMessage, from: Address): void {
		if (this.#relays.size < maxRelays) {
			const relaySequence = this.#takeSequence();
			this.#relays = new Map(this.#relays).set(relaySequence, {origin: from, sequence, startedAt: performance.now()});
			this.#sendPing(target, relaySequence);
		}
	}

	/** Forwards the ack of a relayed ping, or completes this node's own probe. */
	handleAck({sequence}: AckMessage): void {
		const relay = this.#relays.get(sequence);
		if (relay) {
			this.#relays = new Map([...this.#relays].filter(([key]) => key !== sequence));
			this.#sendAck(relay.origin, relay.sequence);
		} else if (this.#probe?.sequence === sequence && !this.#probe.isAnswered) {
			this.#probe = {...this.#probe, isAnswered: true};
			this.#health.add(-1);
			this.#context.table.setSuspectedLocally(this.#probe.id, false);
		}
	}

	#takeSequence(): number {
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
		const id = this.#schedule.pick(ids, candidates => selectProbeCycle(table, candidates));
		const member = id === undefined ? undefined : table.findMember(id);
		this.#nextProbeAt = now + (probePeriodMs * this.#health.getFactor());
		if (!member) {
			this.#probe = undefined;
			return;
		}

		this.#probe = {
			id: member.record.id, address: member.record.gossipAddress, sequence: this.#takeSequence(), startedAt: now, isIndirect: false, isAnswered: false,
		};
		this.#sendPing(this.#probe.address, this.#probe.sequence);
	}

	/** Starts indirect probes if the direct one was not answered in time. */
	#checkTimeout(now: number): void {
		const probe = this.#probe;
		if (!probe || probe.isAnswered || probe.isIndirect || now - probe.startedAt < probeTimeoutMs * this.#health.getFactor()) {
			return;
		}

		this.#probe = {...probe, isIndirect: true};
		const {table, transport, getRandomNumber} = this.#context;
		const others = table.listLive()
			.filter(({record, status}) => status === 'alive' && record.id !== table.self.id && record.id !== probe.id)
			.map(({record}) => record.gossipAddress);
		pickSample(others, maxIndirectProbers, getRandomNumber).forEach(address => {
			transport.send(address, {
				kind: 'indirect', sender: createSender(table), sequence: probe.sequence, target: probe.address,
			});
		});
	}

	/** Suspects the target of an unanswered probe. If this node heard no member at all meanwhile, it suspects it only locally. */
	#finishProbe(): void {
		const probe = this.#probe;
		if (!probe || probe.isAnswered) {
			return;
		}

		const {table} = this.#context;
		const isIsolated = this.#lastMessageAt < probe.startedAt && listPeers(table).length >= minPeersToDetectIsolation;
		this.#health.add(1);
		if (isIsolated) {
			table.setSuspectedLocally(probe.id, true);
		} else {
			this.#applyStatus(probe.id, 'suspect');
		}
	}

	#sweepSuspects(now: number): void {
		const {entries} = this.#context.table.store.getState();
		const suspicionMs = computeSuspicionMs(entries.size) * this.#health.getFactor();
		[...entries.values()]
			.filter(({status, statusAt}) => status === 'suspect' && now - statusAt > suspicionMs)
			.forEach(({id}) => {
				this.#applyStatus(id, 'dead');
			});
	}

	#applyStatus(id: string, status: MemberStatus): void {
		const entry = this.#context.table.findEntry(id);
		if (!entry) {
			return;
		}

		const {incarnation, refutation} = entry;
		const newUpdates = this.#context.table.applyUpdates([{
			kind: 'status', id, incarnation, refutation, status,
		}]);
		newUpdates.forEach(update => {
			this.#dissemination.add(update);
			this.#reportStatus(id, status);
		});
	}
}
