/** A relay between two TCP addresses on loopback that loses, delays and slows what passes. Part of the failure rig. */
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {Subject, type Address} from '@limpetbarrow/core';

/** Direction of bytes: `up` from whoever connected to the relay, `down` back to it. */
export type RelayDirection = 'up' | 'down';

/** Faults of a relay. All are off at first. */
export type RelayFaults = {
	/** Directions whose bytes are swallowed while connections stay open; new connections are concerned too. */
	readonly dropped: readonly RelayDirection[];
	/** Refuses to pass on new connections; they stay open and silent. */
	readonly isDeaf: boolean;
	/** Delay of each chunk, in milliseconds. */
	readonly delayMs: number;
	/** Bytes a second in each direction; 0 for no limit. */
	readonly bytesPerSecond: number;
};

type Flow = {
	readonly direction: RelayDirection;
	readonly from: Socket;
	readonly to: Socket;
	readonly pair: Pair;
};

type Pair = {
	readonly near: Socket;
	readonly far: Socket;
	/** Directions in which bytes were swallowed; nothing more passes there, as what follows would make no sense. */
	readonly lost: Set<RelayDirection>;
	/** True once one side has reset its connection; the other side's is reset then too. */
	isReset: boolean;
};

const noFaults: RelayFaults = {
	dropped: [], isDeaf: false, delayMs: 0, bytesPerSecond: 0,
};
const msPerS = 1000;

/** Relays to one address. */
export class TcpRelay {
	/** Publishes the direction and size of each chunk as it arrives, dropped or not. */
	readonly chunks = new Subject<{readonly direction: RelayDirection; readonly bytes: number}>();
	readonly #target: Address;
	readonly #server: Server;
	readonly #pairs = new Set<Pair>();
	#faults: RelayFaults = noFaults;
	#connectionCount = 0;

	constructor(target: Address) {
		this.#target = target;
		this.#server = createServer(near => {
			this.#handleConnection(near);
		});
	}

	/** Listens; port 0 picks a free one. */
	async listen(port = 0, host = '127.0.0.1'): Promise<Address> {
		await new Promise<void>(resolve => {
			this.#server.listen(port, host, resolve);
		});
		return {host, port: (this.#server.address() as AddressInfo).port};
	}

	/** Switches faults on or off; those not named stay as they are. */
	setFaults(faults: Partial<RelayFaults>): void {
		this.#faults = {...this.#faults, ...faults};
	}

	/** Loses track of the connections open now: they stay open and carry nothing for good, while new ones work. */
	pauseConnections(): void {
		this.#pairs.forEach(({lost}) => {
			lost.add('up').add('down');
		});
	}

	/** Breaks the connections open now. */
	closeConnections(): void {
		[...this.#pairs].forEach(pair => {
			this.#closePair(pair);
		});
	}

	/** Connections taken so far. */
	countConnections(): number {
		return this.#connectionCount;
	}

	async close(): Promise<void> {
		this.closeConnections();
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
	}

	#handleConnection(near: Socket): void {
		this.#connectionCount++;
		const far = connect({...this.#target});
		const pair: Pair = {
			near, far, lost: new Set(this.#faults.isDeaf ? ['up', 'down'] : []), isReset: false,
		};
		this.#pairs.add(pair);

		this.#forward({
			direction: 'up', from: near, to: far, pair,
		});
		this.#forward({
			direction: 'down', from: far, to: near, pair,
		});
	}

	#forward(flow: Flow): void {
		const {from, pair} = flow;
		from.setNoDelay(true);
		from.on('data', (chunk: Uint8Array) => {
			this.#handleChunk(flow, chunk);
		});
		// Node reports a reset behind unread bytes as a normal end; the address of the other side is gone then.
		from.on('end', () => {
			pair.isReset ||= from.remoteAddress === undefined;
		});
		from.on('error', (error: Error & {readonly code?: string}) => {
			pair.isReset ||= error.code === 'ECONNRESET';
			this.#closePair(pair);
		});
		from.on('close', () => {
			this.#handleClose(flow);
		});
	}

	#handleChunk(flow: Flow, chunk: Uint8Array): void {
		const {direction, from, to, pair} = flow;
		this.chunks.publish({direction, bytes: chunk.length});
		if (this.#isLost(pair, direction)) {
			pair.lost.add(direction);
			return;
		}

		const {delayMs, bytesPerSecond} = this.#faults;
		const holdMs = delayMs + (bytesPerSecond > 0 ? chunk.length * msPerS / bytesPerSecond : 0);
		if (holdMs === 0) {
			writeBounded(from, to, chunk);
			return;
		}

		if (bytesPerSecond > 0) {
			from.pause();
		}

		setTimeout(() => {
			from.resume();
			if (!this.#isLost(pair, direction)) {
				writeBounded(from, to, chunk);
			}
		}, holdMs);
	}

	/** The end of a connection that carries nothing is not passed on either. */
	#handleClose({direction, pair}: Flow): void {
		if (!this.#isLost(pair, direction)) {
			this.#closePair(pair);
		}
	}

	#isLost(pair: Pair, direction: RelayDirection): boolean {
		return pair.lost.has(direction) || this.#faults.dropped.includes(direction);
	}

	#closePair(pair: Pair): void {
		this.#pairs.delete(pair);
		[pair.near, pair.far].forEach(socket => {
			// A reset beside a shutdown that is under way fails and would leave the handle open.
			if (pair.isReset && !socket.writableEnded) {
				socket.resetAndDestroy();
			} else {
				socket.destroy();
			}
		});
	}
}

function writeBounded(from: Socket, to: Socket, chunk: Uint8Array): void {
	if (to.destroyed || to.write(chunk)) {
		return;
	}

	from.pause();
	to.once('drain', () => {
		from.resume();
	});
}
