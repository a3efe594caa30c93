/** The platform's object API. */
export type * from './types.js';
export * from './constants.js';
export * from './object-store.js';
export * from './store-dialect.js';
export * from './plain-dialect.js';
export * from './http-object-store.js';
