/** In-memory transport between members in one process, with simulated latency and loss; for tests and benchmarks. */
import {formatAddress, type Address} from '@limpetbarrow/core';
import {type MemberMessage} from './message.js';
import {MessageTransport} from './message-transport.js';

/** Computes the latency of one message in milliseconds; undefined if the message is lost. */
export type ComputeLatency = (from: Address, to: Address, message: MemberMessage) => number | undefined;

/** Connects the transports in one process. */
export class MemoryNetwork {
	readonly #transports = new Map<string, MemoryTransport>();
	readonly #computeLatency: ComputeLatency;

	constructor(computeLatency: ComputeLatency) {
		this.#computeLatency = computeLatency;
	}

	createTransport(): MemoryTransport {
		return new MemoryTransport(this);
	}

	add(address: Address, transport: MemoryTransport): void {
		this.#transports.set(formatAddress(address), transport);
	}

	remove(address: Address): void {
		this.#transports.delete(formatAddress(address));
	}

	/** Delivers a message after its latency, unless it is lost. */
	send(from: Address, to: Address, message: MemberMessage): void {
		const latencyMs = this.#computeLatency(from, to, message);
		if (latencyMs === undefined) {
			return;
		}

		setTimeout(() => {
			this.#transports.get(formatAddress(to))?.handleMessage(message, from);
		}, latencyMs);
	}
}

/** The transport of one member on a `MemoryNetwork`. */
export class MemoryTransport extends MessageTransport {
	readonly #network: MemoryNetwork;
	#address: Address | undefined;

	constructor(network: MemoryNetwork) {
		super();
		this.#network = network;
	}

	override async open(address: Address): Promise<Address> {
		this.#address = address;
		this.#network.add(address, this);
		return address;
	}

	override send(address: Address, message: MemberMessage): void {
		if (this.#address) {
			this.#network.send(this.#address, address, message);
		}
	}

	override close(): void {
		if (this.#address) {
			this.#network.remove(this.#address);
			this.#address = undefined;
		}
	}

	/** Receives a message from the network. */
	handleMessage(message: MemberMessage, from: Address): void {
		this.messages.publish({message, from});
	}
}
