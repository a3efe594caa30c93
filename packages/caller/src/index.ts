/** Library for callers. */
export * from './caller.js';
