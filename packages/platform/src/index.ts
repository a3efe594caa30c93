/** The platform's object API. */
export type * from './types.js';
export * from './constants.js';
export * from './object-store.js';
export * from './http-object-store.js';
