/** The membership protocol of one node, apart from sockets and timers. */
import {
	SilentLogger, type Address, type Logger, type MetricRegistry,
} from '@limpetbarrow/core';
import {
	deadRetentionMs, gossipPeriodMs, joinPeriodMs, pauseThresholdMs, reconnectPeriodMs,
} from './constants.js';
import {
	createSender, Dissemination, listPeers, type MembershipContext,
} from './dissemination.js';
import {LocalHealth} from './local-health.js';
import {type MemberTable} from './member-table.js';
import {type EntrySummary, type MemberMessage, type Sender} from './message.js';
import {type MessageTransport, type ReceivedMessage} from './message-transport.js';
import {pickSample} from './probe-schedule.js';
import {Prober} from './prober.js';
import {profileSlot} from './record-parts.js';
import {Repair} from './repair.js';
import {
	type MemberEntry, type MemberStatus, type MemberUpdate, type StatusUpdate,
} from './types.js';

/** What a node's membership works with. */
export type MembershipOptions = {
	readonly table: MemberTable;
	readonly transport: MessageTransport;
	/** Gossip addresses of a few other nodes. */
	readonly seeds: readonly Address[];
	readonly logger?: Logger;
	readonly metrics?: MetricRegistry;
	/** Gives random numbers from 0 to below 1. */
	readonly getRandomNumber?: () => number;
};

const pauseHealthPenalty = 2;
const directMessagePeriodMs = 1000;
const maxDirectMessageTimes = 1024;
const maxClaimsPerStep = 4;
const leaveFanout = 8;

function toStatusUpdate({id, incarnation, refutation, status}: Pick<MemberEntry, 'id' | 'incarnation' | 'refutation' | 'status'>): StatusUpdate {
	return {
		kind: 'status', id, incarnation, refutation, status,
	};
}

/** Learns of other nodes and tells them of this one; `runStep` is called once a gossip period. */
export class Membership {
	readonly #context: MembershipContext;
	#seeds: readonly Address[];
	readonly #logger: Logger;
	readonly #metrics: MetricRegistry | undefined;
	readonly #health = new LocalHealth();
	readonly #dissemination: Dissemination;
	readonly #prober: Prober;
	readonly #repair: Repair;
	#directMessageTimes: ReadonlyMap<string, number> = new Map();
	#claimsSentInStep = 0;
	#lastStepAt = performance.now();
	#nextReconnectAt = performance.now();
	readonly #unregister: () => void;

	constructor({table, transport, seeds, logger, metrics, getRandomNumber}: MembershipOptions) {
		this.#context = {table, transport, getRandomNumber: getRandomNumber ?? Math.random};
		this.#seeds = seeds;
		this.#logger = logger ?? new SilentLogger();
		this.#metrics = metrics;
		this.#dissemination = new Dissemination(this.#context);
		this.#prober = new Prober(this.#context, this.#dissemination, this.#health, (id, status) => {
			this.#reportStatus(id, status);
		});
		this.#repair = new Repair(this.#context, entry => {
			this.#sendClaimToMember(entry);
		}, entry => {
			this.#applyUpdates([toStatusUpdate(entry)]);
		});
		this.#unregister = table.store.registerListener(({before, after}) => {
			this.#publishSelf(before.entries.get(table.self.id), after.entries.get(table.self.id)!);
		});
		this.#publishSelf(undefined, table.getSelfEntry());
	}

	/** Does what is due. */
	runStep(): void {
		const now = performance.now();
		const delayMs = now - this.#lastStepAt - gossipPeriodMs;
		this.#lastStepAt = now;
		this.#claimsSentInStep = 0;
		if (delayMs > pauseThresholdMs) {
			this.#handlePause(delayMs);
		}

		this.#prober.runStep();
		this.#dissemination.runStep();
		this.#repair.runStep();
		if (now >= this.#nextReconnectAt) {
			this.#probeSeedsAndDead(now);
		}
	}

	/** Takes a message of another member. */
	handleMessage({message, from}: ReceivedMessage): void {
		const {sender} = message;
		if (sender.id === this.#context.table.self.id) {
			return;
		}

		this.#prober.recordMessageReceived();
		this.#handleSender(sender, from);
		this.#dispatchMessage(message, from);
	}

	/** Tells some members that this node ends, so that nobody has to find out. */
	leave(): void {
		const {table, transport, getRandomNumber} = this.#context;
		const update = {...toStatusUpdate(table.getSelfEntry()), status: 'dead'} as const;
		this.#unregister();
		pickSample(listPeers(table), leaveFanout, getRandomNumber).forEach(address => {
			transport.send(address, {kind: 'rumor', sender: createSender(table), updates: [update]});
		});
	}

	/** Takes addresses of more nodes to write to; this node writes to some of them at once. */
	addSeeds(addresses: readonly Address[]): void {
		this.#seeds = [...this.#seeds, ...addresses];
		this.#nextReconnectAt = performance.now();
	}

	/** True while records of other members are missing here. */
	isCatchingUp(): boolean {
		return this.#repair.isCatchingUp();
	}

	/** Factor by which this node stretches its timeouts, 1 when it is well. */
	getHealthFactor(): number {
		return this.#health.getFactor();
	}

	/** Changes that wait to be passed on. */
	countUpdates(): number {
		return this.#dissemination.count();
	}

	#dispatchMessage(message: MemberMessage, from: Address): void {
		switch (message.kind) {
			case 'ping': {
				this.#applyUpdates(message.updates);
				this.#prober.handlePing(message, from);
				break;
			}

			case 'ack': {
				this.#applyUpdates(message.updates);
				this.#prober.handleAck(message);
				break;
			}

			case 'indirect': {
				this.#prober.handleIndirect(message, from);
				break;
			}

			case 'rumor': {
				this.#applyUpdates(message.updates);
				this.#answerClaims(message.updates, from);
				break;
			}

			case 'digest': {
				this.#repair.handleDigest(message, from);
				break;
			}

			case 'summary': {
				this.#answerClaims(message.entries.map(entry => toStatusUpdate(entry)), from);
				this.#repair.handleSummary(message, from);
				break;
			}

			case 'pull': {
				this.#repair.handlePull(message, from);
				break;
			}

			case 'parts': {
				this.#applyParts(message.updates, message.sender);
				break;
			}
		}
	}

	#applyUpdates(updates: readonly MemberUpdate[]): void {
		this.#refuteClaims(updates);
		const news = this.#context.table.applyUpdates(updates);
		news.forEach(update => {
			this.#dissemination.add(update);
			this.#reportUpdate(update);
		});
	}

	/** Takes records that were asked for; only what a member says of itself is passed on. */
	#applyParts(updates: readonly MemberUpdate[], sender: Sender): void {
		const news = this.#context.table.applyUpdates(updates.filter(({kind}) => kind === 'part'));
		news.forEach(update => {
			this.#reportUpdate(update);
			if (update.id === sender.id) {
				this.#dissemination.add(update);
			}
		});
	}

	/** Refutes what is said against this node; returns whether something was. */
	#refuteClaims(updates: readonly MemberUpdate[]): boolean {
		const {table} = this.#context;
		const own = table.getSelfEntry();
		const claim = updates.find((update): update is StatusUpdate => update.kind === 'status'
			&& update.id === own.id
			&& update.incarnation === own.incarnation
			&& update.status !== 'alive'
			&& update.refutation >= own.refutation);
		if (!claim) {
			return false;
		}

		this.#health.add(1);
		this.#metrics?.addCount('gossip_refutations_total');
		table.refute(claim);
		return true;
	}

	#answerClaims(updates: readonly MemberUpdate[], from: Address): void {
		const {table, transport} = this.#context;
		const own = table.getSelfEntry();
		const isNamed = updates.some(update => update.kind === 'status' && update.id === own.id && update.incarnation === own.incarnation && update.status !== 'alive');
		if (isNamed) {
			this.#refuteClaims(updates);
			transport.send(from, {kind: 'rumor', sender: createSender(table), updates: [toStatusUpdate(table.getSelfEntry())]});
		}
	}

	/** Learns from the head of a message alone. */
	#handleSender(sender: Sender, from: Address): void {
		const {table} = this.#context;
		const entry = table.findEntry(sender.id);
		const tombstone = table.store.getState().tombstones.get(sender.id);
		if (entry === undefined && tombstone !== undefined && sender.incarnation <= tombstone.incarnation) {
			this.#handleForgottenSender(sender, tombstone, from);
			return;
		}

		if (entry === undefined || entry.incarnation < sender.incarnation || table.findMember(sender.id) === undefined) {
			this.#fetchRecord(sender, from);
			return;
		}

		if (entry.incarnation > sender.incarnation) {
			return;
		}

		if (sender.refutation > entry.refutation) {
			this.#applyUpdates([{...toStatusUpdate(entry), refutation: sender.refutation, status: 'alive'}]);
		} else if (entry.status === 'alive') {
			table.setSuspectedLocally(sender.id, false);
		} else {
			this.#sendClaim(from, toStatusUpdate(entry));
		}
	}

	#handleForgottenSender(sender: Sender, tombstone: Pick<MemberEntry, 'incarnation' | 'refutation'>, from: Address): void {
		if (sender.incarnation < tombstone.incarnation) {
			return;
		}

		if (sender.refutation > tombstone.refutation) {
			this.#context.table.forgetTombstone(sender.id);
			this.#fetchRecord(sender, from);
		} else {
			this.#sendClaim(from, {
				kind: 'status', id: sender.id, ...tombstone, status: 'dead',
			});
		}
	}

	#fetchRecord({id, incarnation}: Sender, from: Address): void {
		const {table, transport} = this.#context;
		if (this.#admitDirectMessage(id)) {
			transport.send(from, {kind: 'pull', sender: createSender(table), wants: [{id, incarnation, versions: []}]});
		}
	}

	/** Tells a member what is said of it, so that it can refute. */
	#sendClaim(to: Address, update: StatusUpdate): void {
		const {table, transport} = this.#context;
		if (this.#admitDirectMessage(update.id)) {
			transport.send(to, {kind: 'rumor', sender: createSender(table), updates: [update]});
		}
	}

	#sendClaimToMember(entry: EntrySummary): void {
		const member = this.#context.table.findMember(entry.id);
		if (member && this.#claimsSentInStep < maxClaimsPerStep) {
			this.#claimsSentInStep++;
			this.#sendClaim(member.record.gossipAddress, toStatusUpdate(entry));
		}
	}

	/** True when the member was not written to on this account within the period. */
	#admitDirectMessage(id: string): boolean {
		const now = performance.now();
		const isFresh = now - (this.#directMessageTimes.get(id) ?? Number.NEGATIVE_INFINITY) >= directMessagePeriodMs;
		if (isFresh) {
			this.#directMessageTimes = new Map([...this.#directMessageTimes, [id, now] as const].slice(-maxDirectMessageTimes));
		}

		return isFresh;
	}

	#handlePause(delayMs: number): void {
		this.#health.add(pauseHealthPenalty);
		this.#metrics?.addCount('gossip_pauses_total');
		this.#context.table.renewSuspicions(delayMs);
		this.#prober.cancelProbe();
	}

	/** Writes to a seed or a member held dead, so that parted nodes find each other; drops those long dead. */
	#probeSeedsAndDead(now: number): void {
		const {table, getRandomNumber} = this.#context;
		const isAlone = listPeers(table).length === 0;
		const dead = [...table.store.getState().entries.values()].filter(({status}) => status === 'dead');
		this.#nextReconnectAt = now + (isAlone ? joinPeriodMs : reconnectPeriodMs * (0.5 + getRandomNumber()));
		table.forget(dead.filter(({statusAt}) => now - statusAt > deadRetentionMs).map(({id}) => id));
		const deadAddresses = dead.flatMap(({id}) => table.findMember(id)?.record.gossipAddress ?? []);
		const candidates = [...deadAddresses, ...this.#seeds];
		pickSample(candidates, isAlone ? candidates.length : 1, getRandomNumber).forEach(address => {
			this.#prober.probe(address);
		});
	}

	#publishSelf(before: MemberEntry | undefined, after: MemberEntry): void {
		if (before === after) {
			return;
		}

		const {id, incarnation, refutation} = after;
		after.parts
			.filter(part => !before?.parts.includes(part))
			.forEach(part => {
				this.#dissemination.add({
					kind: 'part', id, incarnation, part,
				});
			});
		if (refutation !== (before?.refutation ?? 0)) {
			this.#dissemination.add(toStatusUpdate(after));
		}
	}

	#reportUpdate(update: MemberUpdate): void {
		if (update.kind === 'status') {
			this.#reportStatus(update.id, update.status);
		} else if (update.part.slot === profileSlot) {
			this.#metrics?.addCount('members_profiles_total');
			this.#logger.log('memberJoined', {node: update.id, incarnation: update.incarnation});
		}
	}

	#reportStatus(id: string, status: MemberStatus): void {
		this.#metrics?.addCount('members_status_total', 1, {status});
		if (status === 'suspect') {
			this.#logger.log('memberSuspected', {node: id});
		} else if (status === 'dead') {
			this.#logger.log('memberLost', {node: id});
		}
	}
}
