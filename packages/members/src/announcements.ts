/** The backend servers that announced themselves to this node. */
import {Left, Right, type Either} from 'purify-ts';
import {z} from 'zod';
import {
	createFailure, parseAddress, Store, type Failure, type Logger,
} from '@limpetbarrow/core';
import {announcementLeaseMs} from './constants.js';
import {type AnnouncedServer, type Announcement} from './types.js';

const announcementSchema = z.object({
	id: z.string().regex(/^[\w.\-]{1,63}$/v),
	service: z.string().regex(/^[\w.\-]{1,63}$/v),
	address: z.string().refine(text => parseAddress(text) !== undefined, 'use host:port'),
	slots: z.int().min(1).max(1000),
	generation: z.int().min(0),
	isLeaving: z.boolean().default(false),
	maxConnections: z.int().min(1).default(400),
});

/** Snapshot of the announced servers by id. */
export type AnnouncementSnapshot = {
	readonly servers: ReadonlyMap<string, AnnouncedServer>;
};

function parseAnnouncement(input: unknown): Either<Failure, Announcement> {
	const result = announcementSchema.safeParse(input);
	return result.success
		? Right(result.data)
		: Left(createFailure('announcementInvalid', result.error.issues.map(({path, message}) => `${path.join('.')}: ${message}`).join('; ')));
}

function createServer(announcement: Announcement, now: number): AnnouncedServer {
	const address = parseAddress(announcement.address)!;
	return {...announcement, address, expiresAt: now + announcementLeaseMs};
}

/** Takes announcements and drops those that lapse. */
export class Announcements {
	readonly store = new Store<AnnouncementSnapshot>({servers: new Map()});
	readonly #logger: Logger;

	constructor(logger: Logger) {
		this.#logger = logger;
	}

	/** Takes an announcement from `remoteHost`; only the node's own host may announce. */
	accept(input: unknown, remoteHost: string): Either<Failure, AnnouncedServer> {
		return parseAnnouncement(input)
			.chain(announcement => this.#checkOrigin(announcement, remoteHost))
			.chain(announcement => this.#checkGeneration(announcement))
			.map(announcement => this.#record(createServer(announcement, performance.now())));
	}

	/** Drops the servers whose announcement has lapsed. */
	sweep(): void {
		const now = performance.now();
		const lapsed = [...this.store.getState().servers.values()].filter(({expiresAt}) => expiresAt < now);
		lapsed.forEach(({id, service}) => {
			this.#logger.log('serverLapsed', {server: id, service});
		});
		this.store.update('sweep', snapshot => lapsed.length === 0
			? snapshot
			: {servers: new Map([...snapshot.servers].filter(([, server]) => !lapsed.includes(server)))});
	}

	#checkOrigin(announcement: Announcement, remoteHost: string): Either<Failure, Announcement> {
		return parseAddress(announcement.address)!.host === remoteHost
			? Right(announcement)
			: Left(createFailure('announcementForeign', `${announcement.address} announced from ${remoteHost}`));
	}

	#checkGeneration(announcement: Announcement): Either<Failure, Announcement> {
		const known = this.store.getState().servers.get(announcement.id);
		return known !== undefined && known.generation > announcement.generation
			? Left(createFailure('announcementStale', `generation ${known.generation} is known`))
			: Right(announcement);
	}

	#record(server: AnnouncedServer): AnnouncedServer {
		const known = this.store.getState().servers.get(server.id);
		if (known?.isLeaving !== server.isLeaving) {
			this.#logger.log(server.isLeaving ? 'serverLeft' : 'serverAnnounced', {server: server.id, service: server.service});
		}

		this.store.update('record', ({servers}) => ({servers: new Map(servers).set(server.id, server)}));
		return server;
	}
}
