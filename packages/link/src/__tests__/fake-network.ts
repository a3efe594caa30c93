/** Connections in memory whose packets travel, stall and break as a test says. */
import {type Unregister} from '@limpetbarrow/core';
import {
	Connection, encodePacketHeader, FrameDecoder, type ConnectionHandler, type Packet,
} from '../index.js';

type Direction = 'up' | 'down';

/** One end of a connection in memory. */
class FakeConnection extends Connection {
	readonly #deliver: (bytes: readonly Uint8Array[]) => void;
	readonly #closeBoth: () => void;
	readonly #endBoth: () => void;
	#handler: ConnectionHandler | undefined;
	#heardAt = performance.now();

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

	override getHeardAt(): number {
		return this.#heardAt;
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
		this.#heardAt = performance.now();
		this.#handler?.handlePacket(packet);
	}

	handleClose(): void {
		this.#handler?.handleClose(false);
	}
}

type Line = {
	readonly up: FakeConnection;
	readonly down: FakeConnection;
	readonly queues: Readonly<Record<Direction, Packet[]>>;
	/** Directions whose sender has ended. */
	readonly ended: Set<Direction>;
};

/** Moves packets between two ends. Whoever steps it decides what arrives when. */
export class FakeNetwork {
	readonly #accept: (connection: Connection) => void;
	readonly #lines = new Set<Line>();
	/** Lines on which nothing moves any more, though neither end is told. */
	readonly #silent = new Set<Line>();
	readonly #cut = new Set<Direction>();
	#opened = 0;

	constructor(accept: (connection: Connection) => void) {
		this.#accept = accept;
	}

	connect(): Connection {
		this.#opened++;
		const queues = {up: [] as Packet[], down: [] as Packet[]};
		const close = (): void => {
			this.#close(line);
		};

		const ended = new Set<Direction>();
		const up = new FakeConnection(this.#createDeliver(queues.up, 'up'), close, () => {
			ended.add('up');
		});
		const down = new FakeConnection(this.#createDeliver(queues.down, 'down'), close, () => {
			ended.add('down');
		});
		const line: Line = {
			up, down, queues, ended,
		};
		this.#lines.add(line);
		this.#accept(down);
		return up;
	}

	countOpened(): number {
		return this.#opened;
	}

	countLines(): number {
		return this.#lines.size;
	}

	/** Packets sent and not delivered. */
	countUnderWay(): number {
		return [...this.#lines].reduce((sum, {queues}) => sum + queues.up.length + queues.down.length, 0);
	}

	/** Swallows what is sent in a direction from now on, on lines old and new. */
	pauseDirection(direction: Direction): void {
		this.#cut.add(direction);
	}

	/** Lets everything through on new lines. */
	resumeDirections(): void {
		this.#cut.clear();
	}

	/** Makes the open lines go silent for good; new ones work. */
	pauseLines(): void {
		this.#lines.forEach(line => {
			this.#silent.add(line);
		});
	}

	/** Breaks the open lines with what is under way on them. */
	closeLines(): void {
		[...this.#lines].forEach(line => {
			this.#close(line);
		});
	}

	/** Delivers up to `count` packets in one direction. */
	forward(direction: Direction, count: number): void {
		[...this.#lines].filter(line => !this.#silent.has(line)).forEach(line => {
			line.queues[direction].splice(0, count).forEach(packet => {
				(direction === 'up' ? line.down : line.up).handlePacket(packet);
			});
			if (line.ended.has(direction) && line.queues[direction].length === 0 && !this.#cut.has(direction)) {
				this.#close(line);
			}
		});
	}

	/** Delivers until nothing is under way. */
	settle(): void {
		const isMoving = [...this.#lines].some(line => !this.#silent.has(line) && line.queues.up.length + line.queues.down.length + (this.#cut.size === 0 ? line.ended.size : 0) > 0);
		if (isMoving) {
			this.forward('up', 1);
			this.forward('down', 1);
			this.settle();
		}
	}

	#createDeliver(queue: Packet[], direction: Direction): (bytes: readonly Uint8Array[]) => void {
		const decoder = new FrameDecoder();
		return bytes => {
			if (this.#cut.has(direction)) {
				return;
			}

			bytes.flatMap(part => [...decoder.decode(part)]).forEach(decoded => {
				queue.push(decoded.unsafeCoerce());
			});
		};
	}

	#close(line: Line): void {
		if (!this.#lines.delete(line)) {
			return;
		}

		queueMicrotask(() => {
			line.up.handleClose();
			line.down.handleClose();
		});
	}
}
