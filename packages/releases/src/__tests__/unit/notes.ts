/** Release notes and stores that the tests share. */
import {type CallKind} from '@limpetbarrow/object-store';
import {MemoryObjectStore, type MemoryFault, type MemoryPlatform} from '@limpetbarrow/stand-ins';
import {
	ReleaseAcceptor, ReleaseLog, ReleaseReader, releaseNoteSchema, ReleaseState, SnapshotStore, type Release, type ReleaseNote,
} from '../../index.js';

/** A note that adds one service unless told otherwise. */
export function createNote(id: string, base: number, change: Readonly<Record<string, unknown>> = {}): ReleaseNote {
	return releaseNoteSchema.parse({
		id, operator: 'tester', base, added: {services: [{name: `service-${id}`}]}, ...change,
	});
}

/** A release with a note that adds one service. */
export function createRelease(number: number): Release {
	return {number, acceptedAt: number, note: createNote(`note-${number}`, number - 1)};
}

/** One operator's node without sockets. */
export type Operator = {
	readonly store: MemoryObjectStore;
	readonly state: ReleaseState;
	readonly log: ReleaseLog;
	readonly reader: ReleaseReader;
	readonly acceptor: ReleaseAcceptor;
	readonly snapshots: SnapshotStore;
};

/** A node that has just started. */
export function createOperator(platform: MemoryPlatform, chooseFault?: (kind: CallKind) => MemoryFault, wait?: () => Promise<void>): Operator {
	const store = new MemoryObjectStore(platform, chooseFault, wait);
	const state = new ReleaseState();
	const log = new ReleaseLog(store);
	const snapshots = new SnapshotStore(store);
	const reader = new ReleaseReader(log, snapshots, state);
	const acceptor = new ReleaseAcceptor(store, log, reader);
	return {
		store, state, log, reader, acceptor, snapshots,
	};
}
