/** Messages that members exchange. */
import {type Address} from '@limpetbarrow/core';
import {type MemberEntry, type MemberUpdate} from './types.js';

/** The sender of a message: its id and run, and its own refutation counter. */
export type Sender = Pick<MemberEntry, 'id' | 'incarnation' | 'refutation'>;

/** Summary of the state that a node keeps about a member. */
export type EntrySummary = Pick<MemberEntry, 'id' | 'incarnation' | 'refutation' | 'status' | 'partsHash'>;

/** Requests the parts of a record that are newer than the given versions. `versions` alternates slots and their versions. */
export type RecordRequest = {
	readonly id: string;
	readonly incarnation: number;
	readonly versions: readonly number[];
};

/** Asks the receiver to answer with an ack. */
export type PingMessage = {
	readonly kind: 'ping';
	readonly sender: Sender;
	readonly sequence: number;
	readonly updates: readonly MemberUpdate[];
};

/** Answers a ping and repeats its sequence number. */
export type AckMessage = {
	readonly kind: 'ack';
	readonly sender: Sender;
	readonly sequence: number;
	readonly updates: readonly MemberUpdate[];
};

/** Asks the receiver to ping `target` and to forward the ack to the sender. */
export type IndirectMessage = {
	readonly kind: 'indirect';
	readonly sender: Sender;
	readonly sequence: number;
	readonly target: Address;
};

/** Spreads updates. */
export type RumorMessage = {
	readonly kind: 'rumor';
	readonly sender: Sender;
	readonly updates: readonly MemberUpdate[];
};

/** Carries one hash for each bucket, over the members that the sender does not consider dead. */
export type DigestMessage = {
	readonly kind: 'digest';
	readonly sender: Sender;
	readonly buckets: readonly number[];
};

/** Lists members in the buckets whose hashes differ. */
export type SummaryMessage = {
	readonly kind: 'summary';
	readonly sender: Sender;
	readonly entries: readonly EntrySummary[];
};

/** Requests records or their newer parts. */
export type PullMessage = {
	readonly kind: 'pull';
	readonly sender: Sender;
	readonly wants: readonly RecordRequest[];
};

/** Delivers requested parts of records. */
export type PartsMessage = {
	readonly kind: 'parts';
	readonly sender: Sender;
	readonly updates: readonly MemberUpdate[];
};

/** Asks the receiver a question about a topic. */
export type QueryMessage = {
	readonly kind: 'query';
	readonly sender: Sender;
	readonly sequence: number;
	readonly topic: string;
	/** Texts, finite numbers and booleans. */
	readonly body: readonly unknown[];
};

/** Answers a question and repeats its sequence number. */
export type ReplyMessage = {
	readonly kind: 'reply';
	readonly sender: Sender;
	readonly sequence: number;
	/** Texts, finite numbers and booleans. */
	readonly body: readonly unknown[];
};

/** Any message between members. */
export type MemberMessage
	= | PingMessage
		| AckMessage
		| IndirectMessage
		| RumorMessage
		| DigestMessage
		| SummaryMessage
		| PullMessage
		| PartsMessage
		| QueryMessage
		| ReplyMessage;
