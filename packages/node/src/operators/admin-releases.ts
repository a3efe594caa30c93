/** Admin API routes that serve releases to operators and to other nodes. */
import {type EitherAsync, Left, Right} from 'purify-ts';
import {createFailure, type Failure, type Logger} from '@limpetbarrow/core';
import {type ObjectStore} from '@limpetbarrow/object-store';
import {
	encodeConfiguration, ReleaseAcceptor, ReleaseLog, ReleaseReader, SnapshotStore, type ItemKind, type Release, type ReleaseNote, type ReleaseState,
} from '@limpetbarrow/releases';
import {
	createReadRoute, createValueRoute, parseCount, type AdminRequest, type AdminRoute,
} from './admin-route.js';

const maxNoteBytes = 16_777_216;
const defaultLogEntries = 20;
const maxLogEntries = 500;

/** Names of the items of each kind. */
export type ItemNames = Readonly<Record<ItemKind, readonly string[]>>;

/** One release, as the audit trail shows it. */
export type AuditEntry = {
	readonly number: number;
	/** Unix milliseconds. */
	readonly acceptedAt: number;
	readonly operator: string;
	readonly note: string;
	readonly base: number;
	readonly comment: string;
	readonly added: ItemNames;
	readonly changed: ItemNames;
	readonly withdrawn: ItemNames;
};

/** The changes that a checked release note would make. */
export type NoteSummary = Pick<AuditEntry, 'note' | 'base' | 'added' | 'changed' | 'withdrawn'>;

/** A section of the audit trail and the source that it was read from. */
export type AuditTrail = {
	/** `node` when the platform cannot be reached; the trail then holds only the releases that this node keeps. */
	readonly source: 'platform' | 'node';
	readonly entries: readonly AuditEntry[];
};

function listItemNames(items: ReleaseNote['added']): ItemNames {
	return {
		services: items.services.map(({name}) => name),
		routes: items.routes.map(({name}) => name),
		terms: items.terms.map(({name}) => name),
		organisations: items.organisations.map(({name}) => name),
	};
}

/** Converts a release to its entry in the audit trail. */
export function createAuditEntry({number, acceptedAt, note}: Release): AuditEntry {
	return {
		number,
		acceptedAt,
		operator: note.operator,
		note: note.id,
		base: note.base,
		comment: note.comment,
		added: listItemNames(note.added),
		changed: listItemNames(note.changed),
		withdrawn: note.withdrawn,
	};
}

/** Serves the releases that one node has in force, and accepts new ones. */
export class ReleaseRoutes {
	readonly #state: ReleaseState;
	readonly #logger: Logger;
	readonly #releaseLog: ReleaseLog;
	readonly #snapshots: SnapshotStore;
	readonly #acceptor: ReleaseAcceptor;

	constructor(store: ObjectStore, state: ReleaseState, logger: Logger) {
		this.#state = state;
		this.#logger = logger;
		this.#releaseLog = new ReleaseLog(store);
		this.#snapshots = new SnapshotStore(store);
		this.#acceptor = new ReleaseAcceptor(store, this.#releaseLog, new ReleaseReader(this.#releaseLog, this.#snapshots, state));
	}

	/** Lists the routes under `/releases`. */
	list(): readonly AdminRoute[] {
		return [
			createReadRoute('/releases', request => this.#answerReleases(request)),
			createValueRoute('/releases/configuration', () => encodeConfiguration(this.#state.getConfiguration())),
			createReadRoute('/releases/log', request => this.#answerLog(request)),
			{
				method: 'POST', path: '/releases', maxBodyBytes: maxNoteBytes, answer: ({body}) => this.#accept(body),
			},
			{
				method: 'POST', path: '/releases/check', maxBodyBytes: maxNoteBytes, answer: ({body}) => this.#check(body),
			},
		];
	}

	#answerReleases({query}: AdminRequest): EitherAsync<Failure, readonly Release[]> {
		return parseCount(query, 'after', 0).chain(async after => {
			const releases = this.#state.selectAfter(after);
			return releases
				? Right(releases)
				: Left(createFailure('releaseGone', `this node has release ${this.#state.getNumber()} in force and no longer keeps release ${after + 1}`));
		});
	}

	#answerLog({query}: AdminRequest): EitherAsync<Failure, AuditTrail> {
		return parseCount(query, 'limit', defaultLogEntries)
			.map(limit => Math.min(limit, maxLogEntries))
			.chain(limit => parseCount(query, 'after', Math.max(0, this.#state.getNumber() - limit))
				.chain(after => this.#readAuditTrail(after, limit)));
	}

	#readAuditTrail(after: number, limit: number): EitherAsync<Failure, AuditTrail> {
		return this.#releaseLog.readAfter(after, limit)
			.map<AuditTrail>(releases => ({source: 'platform', entries: releases.slice(0, limit).map(release => createAuditEntry(release))}))
			.chainLeft(async failure => {
				const keptReleases = this.#state.store.getState().releases.filter(({number}) => number > after);
				return failure.name === 'platformUnavailable'
					? Right<AuditTrail, Failure>({source: 'node', entries: keptReleases.slice(0, limit).map(release => createAuditEntry(release))})
					: Left(failure);
			});
	}

	#check(body: unknown): EitherAsync<Failure, NoteSummary> {
		return this.#acceptor.check(body).map(note => ({
			note: note.id, base: note.base, added: listItemNames(note.added), changed: listItemNames(note.changed), withdrawn: note.withdrawn,
		}));
	}

	#accept(body: unknown): EitherAsync<Failure, AuditEntry> {
		return this.#acceptor.accept(body)
			.ifRight(release => {
				this.#logger.log('releaseAccepted', {release: release.number, operator: release.note.operator, note: release.note.id});
				this.#state.apply([release]);
				void this.#writeSnapshot();
			})
			.ifLeft(failure => {
				this.#logger.log('releaseRefused', {code: failure.code, detail: failure.detail});
			})
			.map(release => createAuditEntry(release));
	}

	async #writeSnapshot(): Promise<void> {
		const configuration = this.#state.getConfiguration();
		const written = await this.#snapshots.writeIfDue(configuration).run();
		written
			.ifLeft(({detail}) => {
				this.#logger.log('snapshotFailed', {release: configuration.release, detail});
			})
			.ifRight(isWritten => {
				if (isWritten) {
					this.#logger.log('snapshotWritten', {release: configuration.release});
				}
			});
	}
}
