/** The membership protocol of one node, without sockets and timers. */
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
import {PeerQueries} from './peer-queries.js';
import {pickSample} from './probe-schedule.js';
import {Prober} from './prober.js';
import {profileSlot} from './record-parts.js';
import {Repair} from './repair.js';
import {
	type MemberEntry, type MemberStatus, type MemberUpdate, type StatusUpdate,
} from './types.js';

/** Dependencies and settings of `Membership`. */
export type MembershipOptions = {
	readonly table: MemberTable;
	readonly transport: MessageTransport;
	/** Gossip addresses of a few other nodes, through which this node joins the fleet. */
	readonly seeds: readonly Address[];
	readonly logger?: Logger;
	readonly metrics?: MetricRegistry;
	/** Returns random numbers in [0, 1); `Math.random` by default. */
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

/** Keeps the member table up to date and spreads this node's own record. The caller runs `runStep` once per gossip period. */
export class Membership {
	/** Questions to other members, and the answers to theirs. */
	readonly queries: PeerQueries;
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
		this.queries = new PeerQueries(this.#context, metrics);
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

	/** Runs the tasks that are due. */
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

	/** Handles a message from another member. */
	handleMessage({message, from}: ReceivedMessage): void {
		const {sender} = message;
		if (sender.id === this.#context.table.self.id) {
			return;
		}

		this.#prober.recordMessageReceived();
		this.#handleSender(sender, from);
		this.#dispatchMessage(message, from);
	}

	/** Announces to some members that this node stops, so that no member has to detect it by probes. */
	leave(): void {
		const {table, transport, getRandomNumber} = this.#context;
		const update = {...toStatusUpdate(table.getSelfEntry()), status: 'dead'} as const;
		this.#unregister();
		this.queries.close();
		pickSample(listPeers(table), leaveFanout, getRandomNumber).forEach(address => {
			transport.send(address, {kind: 'rumor', sender: createSender(table), updates: [update]});
		});
	}

	/** Adds addresses of other nodes; the next step pings at least one seed or dead member. */
	addSeeds(addresses: readonly Address[]): void {
		this.#seeds = [...this.#seeds, ...addresses];
		this.#nextReconnectAt = performance.now();
	}

	/** True while this node lacks records of other members. */
	isCatchingUp(): boolean {
		return this.#repair.isCatchingUp();
	}

	/** Returns the factor by which this node extends its timeouts: 1 when it is healthy. */
	getHealthFactor(): number {
		return this.#health.getFactor();
	}

	/** Counts the updates in the send queue. */
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

			case 'query': {
				this.queries.handleQuery(message, from);
				break;
			}

			case 'reply': {
				this.queries.handleReply(message);
				break;
			}
		}
	}

	#applyUpdates(updates: readonly MemberUpdate[]): void {
		this.#refuteClaims(updates);
		const newUpdates = this.#context.table.applyUpdates(updates);
		newUpdates.forEach(update => {
			this.#dissemination.add(update);
			this.#reportUpdate(update);
		});
	}

	/** Applies parts that this node requested. Only updates that a member sent about itself are spread further. */
	#applyParts(updates: readonly MemberUpdate[], sender: Sender): void {
		const newUpdates = this.#context.table.applyUpdates(updates.filter(({kind}) => kind === 'part'));
		newUpdates.forEach(update => {
			this.#reportUpdate(update);
			if (update.id === sender.id) {
				this.#dissemination.add(update);
			}
		});
	}

	/** Refutes a claim that this node is suspect or dead. Returns whether there was one that was not refuted before. */
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

	/** Answers a member that claims this node is suspect or dead, with this node's current status. */
	#answerClaims(updates: readonly MemberUpdate[], from: Address): void {
		const {table, transport} = this.#context;
		const own = table.getSelfEntry();
		const isAccused = updates.some(update => update.kind === 'status' && update.id === own.id && update.incarnation === own.incarnation && update.status !== 'alive');
		if (isAccused) {
			this.#refuteClaims(updates);
			transport.send(from, {kind: 'rumor', sender: createSender(table), updates: [toStatusUpdate(table.getSelfEntry())]});
		}
	}

	/** Updates what is known about the sender of a message from its id, run and refutation counter alone. */
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

	/** Handles a sender that has a tombstone: tells it that it was declared dead, or accepts its refutation. */
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

	/** Tells a member which status is claimed for it, so that it can refute the claim. */
	#sendClaim(to: Address, update: StatusUpdate): void {
		const {table, transport} = this.#context;
		if (this.#admitDirectMessage(update.id)) {
			transport.send(to, {kind: 'rumor', sender: createSender(table), updates: [update]});
		}
	}

	/** Sends a claim to the member that it is about, at most `maxClaimsPerStep` times in one step. */
	#sendClaimToMember(entry: EntrySummary): void {
		const member = this.#context.table.findMember(entry.id);
		if (member && this.#claimsSentInStep < maxClaimsPerStep) {
			this.#claimsSentInStep++;
			this.#sendClaim(member.record.gossipAddress, toStatusUpdate(entry));
		}
	}

	/** Returns true, and records the time, if no direct message was admitted to this member within `directMessagePeriodMs`. */
	#admitDirectMessage(id: string): boolean {
		const now = performance.now();
		const isAdmitted = now - (this.#directMessageTimes.get(id) ?? Number.NEGATIVE_INFINITY) >= directMessagePeriodMs;
		if (isAdmitted) {
			this.#directMessageTimes = new Map([...this.#directMessageTimes, [id, now] as const].slice(-maxDirectMessageTimes));
		}

		return isAdmitted;
	}

	#handlePause(delayMs: number): void {
		this.#health.add(pauseHealthPenalty);
		this.#metrics?.addCount('gossip_pauses_total');
		this.#context.table.renewSuspicions(delayMs);
		this.#prober.cancelProbe();
	}

	/** Pings a seed or a dead member, so that partitions find each other again. Removes members that have been dead for long. */
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

	/** Queues updates for the changed parts and the changed refutation counter of this node's own entry. */
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
