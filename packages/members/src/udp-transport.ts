/** Transport of messages between members as UDP datagrams. */
import {createSocket, type Socket} from 'node:dgram';
import {
	foldResult, type Address, type MetricRegistry,
} from '@limpetbarrow/core';
import {type MemberMessage} from './message.js';
import {decodeMessage, encodeMessage} from './message-codec.js';
import {MessageTransport} from './message-transport.js';

/** Sends each message as one datagram. */
export class UdpTransport extends MessageTransport {
	readonly #metrics: MetricRegistry;
	readonly #socket: Socket = createSocket('udp4');
	#isOpen = false;

	constructor(metrics: MetricRegistry) {
		super();
		this.#metrics = metrics;
	}

	override async open({host, port}: Address): Promise<Address> {
		await new Promise<void>((resolve, reject) => {
			this.#socket.once('error', reject);
			this.#socket.bind(port, host, () => {
				this.#socket.off('error', reject);
				resolve();
			});
		});
		this.#isOpen = true;
		this.#socket.on('error', () => {
			this.#metrics.addCount('gossip_socket_errors_total');
		});
		this.#socket.on('message', (bytes, {address, port: fromPort}) => {
			this.#handleDatagram(bytes, {host: address, port: fromPort});
		});
		return {host, port: this.#socket.address().port};
	}

	override send(address: Address, message: MemberMessage): void {
		if (!this.#isOpen || address.port === 0) {
			return;
		}

		const bytes = encodeMessage(message);
		this.#metrics.addCount('gossip_sent_total', 1, {kind: message.kind});
		this.#metrics.addCount('gossip_sent_bytes_total', bytes.length);
		this.#socket.send(bytes, address.port, address.host, error => {
			if (error) {
				this.#metrics.addCount('gossip_send_errors_total');
			}
		});
	}

	override close(): void {
		if (this.#isOpen) {
			this.#isOpen = false;
			this.#socket.close();
		}
	}

	#handleDatagram(bytes: Uint8Array, from: Address): void {
		foldResult(
			decodeMessage(bytes),
			({code}) => {
				this.#metrics.addCount('gossip_rejected_total', 1, {code: String(code)});
			},
			message => {
				this.messages.publish({message, from});
			},
		);
	}
}
