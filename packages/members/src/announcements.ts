/** The backend servers that have announced themselves to this node. */
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
	address: z.string().refine(text => parseAddress(text) !== undefined, 'expected host:port'),
	slots: z.int().min(1).max(1000),
	generation: z.int().min(0),
	isLeaving: z.boolean().default(false),
	maxConnections: z.int().min(1).default(400),
	coldMs: z.number().min(0).optional(),
});

/** Snapshot of the announced servers by id. */
export type AnnouncementSnapshot = {
	readonly servers: ReadonlyMap<string, AnnouncedServer>;
	/** Generation under which each backend server last moved to another node. */
	readonly movedGenerations: ReadonlyMap<string, number>;
	/** Runs that have left. Outlives the announcements, so that a delayed heartbeat doesn't bring back a server that has left. */
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

/** Accepts announcements and removes the ones that expire. */
export class Announcements {
	readonly store = new Store<AnnouncementSnapshot>({servers: new Map(), movedGenerations: new Map(), left: new Map()});
	readonly #logger: Logger;
	readonly #leaseMs: number;
	#lastSweepAt = performance.now();

	/** `leaseMs` is the time for which an announcement is valid, in milliseconds. */
	constructor(logger: Logger, leaseMs = announcementLeaseMs) {
		this.#logger = logger;
		this.#leaseMs = leaseMs;
	}

	/** Validates and records an announcement. The announced address must be on `remoteHost`, the host that sent it. */
	accept(input: unknown, remoteHost: string): Either<Failure, AnnouncedServer> {
		return parseAnnouncement(input)
			.chain(announcement => this.#checkOrigin(announcement, remoteHost))
			.chain(announcement => this.#checkGeneration(announcement))
			.chain(announcement => this.#checkAddress(announcement))
			.map(announcement => this.#record(createServer(announcement, performance.now() + this.#leaseMs)));
	}

	/**
	 * Records that a backend server of this host leaves, whether or not it has announced itself or its leaving before.
	 * Without a generation, the known run leaves; if no run is known, every run that has started by now.
	 */
	leave(id: string, generation = this.store.getState().servers.get(id)?.generation ?? Date.now()): LeftServers {
		const left = new Map([[id, generation]]);
		this.recordLeft(left);
		return left;
	}

	/** Records runs that have left, as reported to this process or to an earlier process of the node. */
	recordLeft(left: LeftServers): void {
		this.store.update('recordLeft', snapshot => ({...snapshot, left: mergeLeft(snapshot.left, left)}));
		[...this.store.getState().servers.values()].filter(server => !server.isLeaving && hasLeft(left, server)).forEach(server => {
			this.#record({...server, isLeaving: true});
		});
	}

	/** Removes a backend server whose address was found to belong to another one. */
	removeServer(id: string): void {
		this.#remove('removeServer', new Set(this.store.getState().servers.has(id) ? [id] : []));
	}

	/** Removes the servers whose announcement has expired. After a pause of this node, it renews every lease instead. */
	sweep(): void {
		const now = performance.now();
		const delayMs = now - this.#lastSweepAt - announcementSweepMs;
		this.#lastSweepAt = now;
		if (delayMs > pauseThresholdMs) {
			this.#renewLeases(now + this.#leaseMs);
			return;
		}

		const expired = [...this.store.getState().servers.values()].filter(({expiresAt}) => expiresAt < now);
		expired.forEach(({id, service}) => {
			this.#logger.log('serverLapsed', {server: id, service});
		});
		this.#remove('sweep', new Set(expired.map(({id}) => id)));
	}

	/** Removes the servers that have announced themselves to another node under a higher generation. */
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
			: Left(createFailure('announcementForeign', `address ${announcement.address} is not on the announcing host ${remoteHost}`));
	}

	#checkGeneration(announcement: Announcement): Either<Failure, Announcement> {
		const {servers, movedGenerations, left} = this.store.getState();
		const known = servers.get(announcement.id);
		const lowestGeneration = Math.max(known?.generation ?? 0, (movedGenerations.get(announcement.id) ?? -1) + 1);
		if (announcement.generation < lowestGeneration) {
			return Left(createFailure('announcementStale', `the lowest accepted generation is ${lowestGeneration}`));
		}

		return !announcement.isLeaving && hasLeft(left, announcement)
			? Left(createFailure('announcementStale', `generation ${announcement.generation} has already announced that it leaves`))
			: this.#checkCapacity(announcement);
	}

	/** Refuses a delayed announcement: of two backend servers at the same address, only the one that started later still runs. */
	#checkAddress(announcement: Announcement): Either<Failure, Announcement> {
		const later = this.#listServersAtAddress({id: announcement.id, address: parseAddress(announcement.address)!}).find(({generation}) => generation > announcement.generation);
		return later
			? Left(createFailure('announcementStale', `backend server ${later.id} started later at ${announcement.address}`))
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
			: Left(createFailure('announcementInvalid', `the node accepts at most ${maxAnnouncedServers} backend servers`));
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
