/** Spreads member records between nodes. */
import {type Buffer} from 'node:buffer';
import {createSocket, type Socket} from 'node:dgram';
import {Encoder} from 'cbor-x';
import {formatAddress, type Address, type NodeRecord} from '@limpetbarrow/core';
import {gossipPeriodMs, memberTimeoutMs} from './constants.js';
import {type MemberTable} from './member-table.js';

const codec = new Encoder({useRecords: false, mapsAsObjects: true});

type GossipMessage = {
	readonly records: readonly NodeRecord[];
};

/** Exchanges records with random members once a period. */
export class Gossip {
	readonly #table: MemberTable;
	readonly #seeds: readonly Address[];
	readonly #socket: Socket = createSocket('udp4');
	readonly #heardAt = new Map<string, number>();
	#timer: NodeJS.Timeout | undefined;

	constructor(table: MemberTable, seeds: readonly Address[]) {
		this.#table = table;
		this.#seeds = seeds;
	}

	async start({host, port}: Address): Promise<Address> {
		await new Promise<void>((resolve, reject) => {
			this.#socket.once('error', reject);
			this.#socket.bind(port, host, resolve);
		});
		this.#socket.on('message', message => {
			this.#handleMessage(message);
		});
		this.#timer = setInterval(() => {
			this.#runRound();
		}, gossipPeriodMs);
		return {host, port: this.#socket.address().port};
	}

	stop(): void {
		clearInterval(this.#timer);
		this.#socket.close();
	}

	#runRound(): void {
		this.#table.updateSelf(() => ({}));
		this.#sweep();
		const self = this.#table.getSelf();
		const known = this.#table.listLive().map(({record}) => record);
		const addresses = [...known.filter(({id}) => id !== self.id).map(({gossipAddress}) => gossipAddress), ...this.#seeds]
			.filter(address => formatAddress(address) !== formatAddress(self.gossipAddress));
		addresses.forEach(address => {
			known.forEach(record => {
				const message: GossipMessage = {records: [record]};
				this.#socket.send(codec.encode(message), address.port, address.host);
			});
		});
	}

	#handleMessage(message: Uint8Array): void {
		try {
			const {records} = codec.decode(message) as GossipMessage;
			const news = records.filter(record => record.sequence > (this.#table.findMember(record.id)?.record.sequence ?? -1));
			this.#table.merge(records);
			news.forEach(({id}) => {
				this.#heardAt.set(id, performance.now());
				this.#table.setStatus(id, 'alive');
			});
		} catch {
			// A malformed message changes nothing.
		}
	}

	#sweep(): void {
		const now = performance.now();
		[...this.#heardAt].forEach(([id, heardAt]) => {
			if (now - heardAt > memberTimeoutMs) {
				this.#table.setStatus(id, 'dead');
			}
		});
	}
}
