/** A relay of datagrams to one address on loopback that can drop them by direction. Part of the failure rig. */
import {createSocket, type RemoteInfo, type Socket} from 'node:dgram';
import {formatAddress, type Address} from '@limpetbarrow/core';
import {type RelayDirection} from './tcp-relay.js';

async function openSocket(port: number, host: string): Promise<Socket> {
	const socket = createSocket('udp4');
	await new Promise<void>(resolve => {
		socket.bind(port, host, resolve);
	});
	return socket;
}

/** Relays datagrams; each sender is seen by the target at an address of its own, so that answers find the way back. */
export class UdpRelay {
	readonly #target: Address;
	readonly #senders = new Map<string, Promise<Socket>>();
	#socket: Socket | undefined;
	#dropped: readonly RelayDirection[] = [];

	constructor(target: Address) {
		this.#target = target;
	}

	async listen(port = 0, host = '127.0.0.1'): Promise<Address> {
		this.#socket = await openSocket(port, host);
		this.#socket.on('message', (bytes, from) => {
			void this.#forward(bytes, from);
		});
		return {host, port: this.#socket.address().port};
	}

	/** Drops datagrams in these directions: `up` towards the target, `down` away from it. */
	setDropped(dropped: readonly RelayDirection[]): void {
		this.#dropped = dropped;
	}

	async close(): Promise<void> {
		this.#socket?.close();
		const sockets = await Promise.all(this.#senders.values());
		this.#senders.clear();
		sockets.forEach(socket => {
			socket.close();
		});
	}

	async #forward(bytes: Uint8Array, from: RemoteInfo): Promise<void> {
		if (this.#dropped.includes('up')) {
			return;
		}

		const key = formatAddress({host: from.address, port: from.port});
		const known = this.#senders.get(key) ?? this.#createSender(from);
		this.#senders.set(key, known);
		const sender = await known;
		sender.send(bytes, this.#target.port, this.#target.host);
	}

	async #createSender(from: RemoteInfo): Promise<Socket> {
		const sender = await openSocket(0, '127.0.0.1');
		sender.on('message', bytes => {
			if (!this.#dropped.includes('down')) {
				this.#socket?.send(bytes, from.port, from.address);
			}
		});
		return sender;
	}
}
