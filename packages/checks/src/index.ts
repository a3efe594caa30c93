/** Checks of the tree against its own rules; its tests do the work. */
export * from './doc-tables.js';
export * from './source-files.js';
export * from './function-names.js';
export * from './known-red.js';
