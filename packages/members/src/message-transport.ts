/** The interface of transports for messages between members. */
import {Subject, type Address} from '@limpetbarrow/core';
import {type MemberMessage} from './message.js';

/** A received message and the address of its sender. */
export type ReceivedMessage = {
	readonly message: MemberMessage;
	readonly from: Address;
};

/** Sends messages without guaranteed delivery, and publishes received messages. */
export abstract class MessageTransport {
	readonly messages = new Subject<ReceivedMessage>();

	/** Starts to receive and resolves to the address of this end. */
	abstract open(address: Address): Promise<Address>;

	abstract send(address: Address, message: MemberMessage): void;

	abstract close(): void;
}
