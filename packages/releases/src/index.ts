/** Release notes: schema, validation, numbered log, following. */
export type * from './types.js';
export * from './release-note.js';
export * from './configuration.js';
export * from './validate-note.js';
export * from './release-log.js';
export * from './release-state.js';
export * from './release-follower.js';
