/** Messages between members. */
import {type Address} from '@limpetbarrow/core';
import {type MemberEntry, type MemberUpdate} from './types.js';

/** Who sends a message, as the member itself sees it. */
export type Sender = Pick<MemberEntry, 'id' | 'incarnation' | 'refutation'>;

/** What one node holds of a member, in short. */
export type EntrySummary = Pick<MemberEntry, 'id' | 'incarnation' | 'refutation' | 'status' | 'partsHash'>;

/** Asks for the parts of a record that are newer than the versions given as slot and version in turn. */
export type RecordRequest = {
	readonly id: string;
	readonly incarnation: number;
	readonly versions: readonly number[];
};

/** Asks whether the receiver is there. */
export type PingMessage = {
	readonly kind: 'ping';
	readonly sender: Sender;
	readonly sequence: number;
	readonly updates: readonly MemberUpdate[];
};

/** Answers a ping; carries the sequence of the ping. */
export type AckMessage = {
	readonly kind: 'ack';
	readonly sender: Sender;
	readonly sequence: number;
	readonly updates: readonly MemberUpdate[];
};

/** Asks the receiver to ping `target` and to hand its answer back. */
export type IndirectMessage = {
	readonly kind: 'indirect';
	readonly sender: Sender;
	readonly sequence: number;
	readonly target: Address;
};

/** Passes changes on. */
export type RumorMessage = {
	readonly kind: 'rumor';
	readonly sender: Sender;
	readonly updates: readonly MemberUpdate[];
};

/** Offers the bucketed hashes of all that the sender knows. */
export type DigestMessage = {
	readonly kind: 'digest';
	readonly sender: Sender;
	readonly buckets: readonly number[];
};

/** Lists the members of the buckets that differ. */
export type SummaryMessage = {
	readonly kind: 'summary';
	readonly sender: Sender;
	readonly entries: readonly EntrySummary[];
};

/** Asks for records. */
export type PullMessage = {
	readonly kind: 'pull';
	readonly sender: Sender;
	readonly wants: readonly RecordRequest[];
};

/** Brings parts of records that were asked for. */
export type PartsMessage = {
	readonly kind: 'parts';
	readonly sender: Sender;
	readonly updates: readonly MemberUpdate[];
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
		| PartsMessage;
