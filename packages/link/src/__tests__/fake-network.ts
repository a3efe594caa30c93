/** In-memory connections whose packets a test delivers, delays or drops. */
import {type Unregister} from '@limpetbarrow/core';
import {
	Connection, encodePacketHeader, FrameDecoder, type ConnectionHandler, type Packet,
} from '../index.js';

type Direction = 'up' | 'down';

/** One end of an in-memory connection. */
class FakeConnection extends Connection {
	readonly #deliver: (bytes: readonly Uint8Array[]) => void;
	readonly #closeBoth: () => void;
	readonly #endBoth: () => void;
	#handler: ConnectionHandler | undefined;
	#lastReceivedAt = performance.now();

	constructor(deliver: (bytes: readonly Uint8Array[]) => void, closeBoth: () => void, endBoth: () => void) {
		super();
		this.#deliver = deliver;
		this.#closeBoth = closeBoth;
		this.#endBoth = endBoth;
	}

	override send(packet: Packet): number {
		const header = encodePacketHeader(packet);
		this.#deliver([header, packet.payload]);
		return header.length + packet.payload.length;
	}

	override getLastReceivedAt(): number {
		return this.#lastReceivedAt;
	}

	override registerHandler(handler: ConnectionHandler): Unregister {
		this.#handler = handler;
		return () => {
			this.#handler = undefined;
		};
	}

	override end(): void {
		this.#endBoth();
	}

	override close(): void {
		this.#closeBoth();
	}

	handlePacket(packet: Packet): void {
		this.#lastReceivedAt = performance.now();
		this.#handler?.handlePacket(packet);
	}

	handleClose(): void {
		this.#handler?.handleClose(false);
	}
}

type ConnectionPair = {
	readonly up: FakeConnection;
	readonly down: FakeConnection;
	readonly queues: Readonly<Record<Direction, Packet[]>>;
	/** Directions whose sender has called `end`. */
	readonly ended: Set<Direction>;
};

/** Moves packets between the two ends of connections. The test decides which packets arrive when. */
export class FakeNetwork {
	readonly #accept: (connection: Connection) => void;
	readonly #pairs = new Set<ConnectionPair>();
	/** Connections that deliver nothing any more, without either end being told. */
	readonly #silentPairs = new Set<ConnectionPair>();
	readonly #droppedDirections = new Set<Direction>();
	#openedCount = 0;

	constructor(accept: (connection: Connection) => void) {
		this.#accept = accept;
	}

	connect(): Connection {
		this.#openedCount++;
		const queues = {up: [] as Packet[], down: [] as Packet[]};
		const close = (): void => {
			this.#close(pair);
		};

		const ended = new Set<Direction>();
		const up = new FakeConnection(this.#createDelivery(queues.up, 'up'), close, () => {
			ended.add('up');
		});
		const down = new FakeConnection(this.#createDelivery(queues.down, 'down'), close, () => {
			ended.add('down');
		});
		const pair: ConnectionPair = {
			up, down, queues, ended,
		};
		this.#pairs.add(pair);
		this.#accept(down);
		return up;
	}

	countOpened(): number {
		return this.#openedCount;
	}

	countConnections(): number {
		return this.#pairs.size;
	}

	/** Number of packets that were sent and not delivered yet. */
	countInFlight(): number {
		return [...this.#pairs].reduce((sum, {queues}) => sum + queues.up.length + queues.down.length, 0);
	}

	/** Drops the packets sent in a direction from now on, on present and new connections. */
	pauseDirection(direction: Direction): void {
		this.#droppedDirections.add(direction);
	}

	/** Stops dropping packets in both directions. */
	resumeDirections(): void {
		this.#droppedDirections.clear();
	}

	/** Makes the open connections silent for good; new connections work. */
	pauseConnections(): void {
		this.#pairs.forEach(pair => {
			this.#silentPairs.add(pair);
		});
	}

	/** Closes the open connections; their packets in flight are lost. */
	closeConnections(): void {
		[...this.#pairs].forEach(pair => {
			this.#close(pair);
		});
	}

	/** Delivers up to `count` packets in one direction on each connection. */
	forward(direction: Direction, count: number): void {
		[...this.#pairs].filter(pair => !this.#silentPairs.has(pair)).forEach(pair => {
			pair.queues[direction].splice(0, count).forEach(packet => {
				(direction === 'up' ? pair.down : pair.up).handlePacket(packet);
			});
			if (pair.ended.has(direction) && pair.queues[direction].length === 0 && !this.#droppedDirections.has(direction)) {
				this.#close(pair);
			}
		});
	}

	/** Delivers packets until none is in flight, apart from those on silent connections. */
	settle(): void {
		const isMoving = [...this.#pairs].some(pair => !this.#silentPairs.has(pair)
			&& pair.queues.up.length + pair.queues.down.length + (this.#droppedDirections.size === 0 ? pair.ended.size : 0) > 0);
		if (isMoving) {
			this.forward('up', 1);
			this.forward('down', 1);
			this.settle();
		}
	}

	#createDelivery(queue: Packet[], direction: Direction): (bytes: readonly Uint8Array[]) => void {
		const decoder = new FrameDecoder();
		return bytes => {
			if (this.#droppedDirections.has(direction)) {
				return;
			}

			bytes.flatMap(part => [...decoder.decode(part)]).forEach(decoded => {
				queue.push(decoded.unsafeCoerce());
			});
		};
	}

	#close(pair: ConnectionPair): void {
		if (!this.#pairs.delete(pair)) {
			return;
		}

		queueMicrotask(() => {
			pair.up.handleClose();
			pair.down.handleClose();
		});
	}
}
