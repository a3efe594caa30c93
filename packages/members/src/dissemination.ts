/** Spreads updates to other members within a budget of bytes. */
import {type Address, type ServerRecord} from '@limpetbarrow/core';
import {
	gossipBurstBytes, gossipBytesPerSecond, gossipFanout, gossipOverdraftBytes, maxDatagramBytes, piggybackBytes,
} from './constants.js';
import {type MemberTable} from './member-table.js';
import {type Sender} from './message.js';
import {computeUpdateBytes} from './message-codec.js';
import {type MessageTransport} from './message-transport.js';
import {pickPeers} from './peer-choice.js';
import {
	firstServerSlot, poisonSlot, profileSlot, releaseSlot, type Profile,
} from './record-parts.js';
import {TokenBucket} from './token-bucket.js';
import {type MemberUpdate, type PartUpdate, type UpdatePriority} from './types.js';
import {UpdateQueue} from './update-queue.js';

/** Dependencies that the parts of the membership protocol share. */
export type MembershipContext = {
	readonly table: MemberTable;
	readonly transport: MessageTransport;
	readonly getRandomNumber: () => number;
};

const senderBytes = 40;
const datagramOverheadBytes = 28;

/** Creates the sender field of this node's messages. */
export function createSender(table: MemberTable): Sender {
	const {id, incarnation, refutation} = table.getSelfEntry();
	return {id, incarnation, refutation};
}

/** Lists the gossip addresses of the other members that are not dead. */
export function listPeers(table: MemberTable): readonly Address[] {
	return table.listLive()
		.filter(({record}) => record.id !== table.self.id)
		.map(({record}) => record.gossipAddress);
}

/** Sends queued updates to a few members at each step. */
export class Dissemination {
	readonly #context: MembershipContext;
	readonly #queue = new UpdateQueue(computeUpdateBytes);
	readonly #budget = new TokenBucket(gossipBytesPerSecond, gossipBurstBytes);
	#highestRelease = 0;

	constructor(context: MembershipContext) {
		this.#context = context;
	}

	/** Queues an update with the priority that follows from its content. */
	add(update: MemberUpdate): void {
		this.#queue.add(update, this.#choosePriority(update));
	}

	/** Counts the updates in the send queue. */
	count(): number {
		return this.#queue.count();
	}

	/** Takes updates from the queue that are piggybacked on a ping or an ack. */
	takePiggyback(): readonly MemberUpdate[] {
		return this.#queue.take(piggybackBytes, 1, this.#countMembers()).updates;
	}

	/** Sends one batch of updates to a few members if the budget allows it; urgent updates may overdraw the budget. */
	runStep(): void {
		if (this.#queue.count() === 0) {
			return;
		}

		const remainingBytes = this.#budget.count();
		const isUrgentOnly = remainingBytes <= 0;
		if (remainingBytes <= -gossipOverdraftBytes || (isUrgentOnly && !this.#queue.hasUrgent())) {
			return;
		}

		const {table, transport, getRandomNumber} = this.#context;
		const receivers = pickPeers(table, gossipFanout, getRandomNumber);
		if (receivers.length === 0) {
			return;
		}

		const {updates, bytes} = this.#queue.take(maxDatagramBytes - senderBytes, receivers.length, this.#countMembers(), isUrgentOnly);
		this.#budget.take(receivers.length * (bytes + senderBytes + datagramOverheadBytes));
		receivers.forEach(address => {
			transport.send(address, {kind: 'rumor', sender: createSender(table), updates});
		});
	}

	#countMembers(): number {
		return this.#context.table.store.getState().members.size;
	}

	#choosePriority(update: MemberUpdate): UpdatePriority {
		if (update.kind === 'part') {
			return this.#choosePartPriority(update);
		}

		return update.status === 'dead' ? 'normal' : 'urgent';
	}

	#choosePartPriority({part: {slot, value}}: PartUpdate): UpdatePriority {
		if (slot === releaseSlot) {
			const isHighest = (value as number) > this.#highestRelease;
			this.#highestRelease = Math.max(this.#highestRelease, value as number);
			return isHighest ? 'urgent' : 'low';
		}

		const isUrgent = (slot === profileSlot && (value as Profile).state === 'stopping')
			|| (slot === poisonSlot && (value as readonly unknown[]).length > 0)
			|| (slot >= firstServerSlot && (value as ServerRecord | undefined)?.state === 'leaving');
		return isUrgent ? 'urgent' : 'normal';
	}
}
