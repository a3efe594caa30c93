/** Carries messages between members. */
import {Subject, type Address} from '@limpetbarrow/core';
import {type MemberMessage} from './message.js';

/** A message with the address it came from. */
export type ReceivedMessage = {
	readonly message: MemberMessage;
	readonly from: Address;
};

/** Sends messages without a promise that they arrive, and publishes those received. */
export abstract class MessageTransport {
	readonly messages = new Subject<ReceivedMessage>();

	/** Begins to receive and resolves to the address. */
	abstract open(address: Address): Promise<Address>;

	abstract send(address: Address, message: MemberMessage): void;

	abstract close(): void;
}
