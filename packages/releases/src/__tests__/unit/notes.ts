/** Shared test helpers that create release notes and operators. */
import {type CallKind} from '@limpetbarrow/object-store';
import {MemoryObjectStore, type MemoryFault, type MemoryPlatform} from '@limpetbarrow/stand-ins';
import {
	ReleaseAcceptor, ReleaseLog, ReleaseReader, releaseNoteSchema, ReleaseState, SnapshotStore, type Release, type ReleaseNote,
} from '../../index.js';

/** Creates a note that adds one service, unless `change` overrides it. */
export function createNote(id: string, base: number, change: Readonly<Record<string, unknown>> = {}): ReleaseNote {
	return releaseNoteSchema.parse({
		id, operator: 'tester', base, added: {services: [{name: `service-${id}`}]}, ...change,
	});
}

/** Creates a release whose note adds one service. */
export function createRelease(number: number): Release {
	return {number, acceptedAt: number, note: createNote(`note-${number}`, number - 1)};
}

/** The release components of one operator's node, on an in-memory store. */
export type Operator = {
	readonly store: MemoryObjectStore;
	readonly state: ReleaseState;
	readonly log: ReleaseLog;
	readonly reader: ReleaseReader;
	readonly acceptor: ReleaseAcceptor;
	readonly snapshots: SnapshotStore;
};

/** Creates the components of a newly started node. */
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
