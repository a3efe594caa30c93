/** Release notes: schema, validation, numbered log, snapshots, following. */
export type * from './types.js';
export * from './release-note.js';
export * from './configuration.js';
export * from './note-fault.js';
export * from './validate-note.js';
export * from './release-keys.js';
export * from './release-codec.js';
export * from './release-log.js';
export * from './release-state.js';
export * from './release-reader.js';
export * from './release-acceptor.js';
export * from './snapshot-store.js';
export * from './select-watchers.js';
export * from './release-peers.js';
export * from './store-watcher.js';
export * from './release-follower.js';
export * from './memory-fleet.js';
