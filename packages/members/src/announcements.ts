/** The backend servers that announced themselves to this node. */
import {Left, Right, type Either} from 'purify-ts';
import * as z from 'zod';
import {
	createFailure, formatAddress, parseAddress, Store, type Failure, type Logger,
} from '@limpetbarrow/core';
import {
	announcementLeaseMs, announcementSweepMs, maxAnnouncedServers, maxMovedServers, pauseThresholdMs,
} from './constants.js';
import {hasLeft, mergeLeft, type LeftServers} from './left-servers.js';
import {type AnnouncedServer, type Announcement} from './types.js';

const announcementSchema = z.object({
	id: z.string().regex(/^[\w.\-]{1,63}$/v),
	service: z.string().regex(/^[\w.\-]{1,63}$/v),
	address: z.string().refine(text => parseAddress(text) !== undefined, 'use host:port'),
	slots: z.int().min(1).max(1000),
	generation: z.int().min(0),
	isLeaving: z.boolean().default(false),
	maxConnections: z.int().min(1).default(400),
	coldMs: z.number().min(0).optional(),
});

/** Snapshot of the announced servers by id. */
export type AnnouncementSnapshot = {
	readonly servers: ReadonlyMap<string, AnnouncedServer>;
	/** Generation under which each backend server went to another node. */
	readonly movedGenerations: ReadonlyMap<string, number>;
	/** Outlives the announcements: a heartbeat that was late must not bring back what has left. */
	readonly left: LeftServers;
};

function parseAnnouncement(input: unknown): Either<Failure, Announcement> {
	const result = announcementSchema.safeParse(input);
	return result.success
		? Right(result.data)
		: Left(createFailure('announcementInvalid', result.error.issues.map(({path, message}) => `${path.join('.')}: ${message}`).join('; ')));
}

function createServer({coldMs, ...announcement}: Announcement, expiresAt: number): AnnouncedServer {
	const address = parseAddress(announcement.address)!;
	return {
		...announcement, address, expiresAt, ...(coldMs !== undefined && {coldMs}),
	};
}

/** Takes announcements and drops those that lapse. */
export class Announcements {
	readonly store = new Store<AnnouncementSnapshot>({servers: new Map(), movedGenerations: new Map(), left: new Map()});
	readonly #logger: Logger;
	readonly #leaseMs: number;
	#lastSweepAt = performance.now();

	/** `leaseMs` is the time an announcement holds, in milliseconds. */
	constructor(logger: Logger, leaseMs = announcementLeaseMs) {
		this.#logger = logger;
		this.#leaseMs = leaseMs;
	}

	/** Takes an announcement from `remoteHost`; only the node's own host may announce. */
	accept(input: unknown, remoteHost: string): Either<Failure, AnnouncedServer> {
		return parseAnnouncement(input)
			.chain(announcement => this.#checkOrigin(announcement, remoteHost))
			.chain(announcement => this.#checkGeneration(announcement))
			.chain(announcement => this.#checkAddress(announcement))
			.map(announcement => this.#record(createServer(announcement, performance.now() + this.#leaseMs)));
	}

	/**
	 * Takes that a backend server of this host leaves, whether it announced so or itself before or not. Without a
	 * generation it is the run that is known; of one that isn't known, every run that has started by now.
	 */
	leave(id: string, generation = this.store.getState().servers.get(id)?.generation ?? Date.now()): LeftServers {
		const left = new Map([[id, generation]]);
		this.recordLeft(left);
		return left;
	}

	/** Takes which runs have left, as this node or the process before it was told. */
	recordLeft(left: LeftServers): void {
		this.store.update('recordLeft', snapshot => ({...snapshot, left: mergeLeft(snapshot.left, left)}));
		[...this.store.getState().servers.values()].filter(server => !server.isLeaving && hasLeft(left, server)).forEach(server => {
			this.#record({...server, isLeaving: true});
		});
	}

	/** Drops a backend server whose address has been found to be another's. */
	removeServer(id: string): void {
		this.#remove('removeServer', new Set(this.store.getState().servers.has(id) ? [id] : []));
	}

	/** Drops the servers whose announcement has lapsed; after a pause of this node each gets a whole lease first. */
	sweep(): void {
		const now = performance.now();
		const delayMs = now - this.#lastSweepAt - announcementSweepMs;
		this.#lastSweepAt = now;
		if (delayMs > pauseThresholdMs) {
			this.#renewLeases(now + this.#leaseMs);
			return;
		}

		const lapsed = [...this.store.getState().servers.values()].filter(({expiresAt}) => expiresAt < now);
		lapsed.forEach(({id, service}) => {
			this.#logger.log('serverLapsed', {server: id, service});
		});
		this.#remove('sweep', new Set(lapsed.map(({id}) => id)));
	}

	/** Gives up the servers that announced themselves to another node under a higher generation. */
	removeMovedServers(generationsElsewhere: ReadonlyMap<string, number>): void {
		const {servers} = this.store.getState();
		const moved = [...generationsElsewhere].filter(([id, generation]) => generation > (servers.get(id)?.generation ?? Number.POSITIVE_INFINITY));
		if (moved.length === 0) {
			return;
		}

		moved.forEach(([id, generation]) => {
			this.#logger.log('serverMoved', {server: id, generation});
		});
		this.store.update('removeMovedServers', snapshot => ({
			...snapshot, movedGenerations: new Map([...snapshot.movedGenerations, ...moved].slice(-maxMovedServers)),
		}));
		this.#remove('removeMovedServers', new Set(moved.map(([id]) => id)));
	}

	#renewLeases(expiresAt: number): void {
		this.store.update('renewLeases', snapshot => ({
			...snapshot, servers: new Map([...snapshot.servers].map(([id, server]) => [id, {...server, expiresAt: Math.max(expiresAt, server.expiresAt)}])),
		}));
	}

	#remove(update: string, ids: ReadonlySet<string>): void {
		this.store.update(update, snapshot => ids.size === 0
			? snapshot
			: {...snapshot, servers: new Map([...snapshot.servers].filter(([id]) => !ids.has(id)))});
	}

	#checkOrigin(announcement: Announcement, remoteHost: string): Either<Failure, Announcement> {
		return parseAddress(announcement.address)!.host === remoteHost
			? Right(announcement)
			: Left(createFailure('announcementForeign', `${announcement.address} announced from ${remoteHost}`));
	}

	#checkGeneration(announcement: Announcement): Either<Failure, Announcement> {
		const {servers, movedGenerations, left} = this.store.getState();
		const known = servers.get(announcement.id);
		const lowestGeneration = Math.max(known?.generation ?? 0, (movedGenerations.get(announcement.id) ?? -1) + 1);
		if (announcement.generation < lowestGeneration) {
			return Left(createFailure('announcementStale', `the lowest generation taken is ${lowestGeneration}`));
		}

		return !announcement.isLeaving && hasLeft(left, announcement)
			? Left(createFailure('announcementStale', `generation ${announcement.generation} has said that it leaves`))
			: this.#checkCapacity(announcement);
	}

	/** Of two backend servers at one address the later started is there; what was delayed of the other is late. */
	#checkAddress(announcement: Announcement): Either<Failure, Announcement> {
		const later = this.#listServersAtAddress({id: announcement.id, address: parseAddress(announcement.address)!}).find(({generation}) => generation > announcement.generation);
		return later
			? Left(createFailure('announcementStale', `server ${later.id} started later at ${announcement.address}`))
			: Right(announcement);
	}

	#listServersAtAddress({id, address}: Pick<AnnouncedServer, 'id' | 'address'>): readonly AnnouncedServer[] {
		const text = formatAddress(address);
		return [...this.store.getState().servers.values()].filter(other => other.id !== id && formatAddress(other.address) === text);
	}

	#checkCapacity(announcement: Announcement): Either<Failure, Announcement> {
		const {servers} = this.store.getState();
		return servers.size < maxAnnouncedServers || servers.has(announcement.id)
			? Right(announcement)
			: Left(createFailure('announcementInvalid', `a node takes ${maxAnnouncedServers} backend servers`));
	}

	#record(server: AnnouncedServer): AnnouncedServer {
		const known = this.store.getState().servers.get(server.id);
		if (known?.isLeaving !== server.isLeaving) {
			this.#logger.log(server.isLeaving ? 'serverLeft' : 'serverAnnounced', {server: server.id, service: server.service});
		}

		const replaced = new Set(this.#listServersAtAddress(server).filter(({generation}) => generation < server.generation).map(({id}) => id));
		this.store.update('record', snapshot => ({
			...snapshot,
			left: server.isLeaving ? mergeLeft(snapshot.left, new Map([[server.id, server.generation]])) : snapshot.left,
			servers: new Map([...snapshot.servers].filter(([id]) => !replaced.has(id))).set(server.id, server),
		}));
		return server;
	}
}
