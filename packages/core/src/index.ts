/** Types, result codes, log events, loggers, metrics and state that the other packages share. */
export * from './types.js';
export * from './constants.js';
export * from './result-codes.js';
export * from './failure.js';
export * from './fold-result.js';
export * from './log-events.js';
export * from './logger.js';
export * from './consola-logger.js';
export * from './line-logger.js';
export * from './store.js';
export * from './subject.js';
export * from './metrics.js';
export * from './utils.js';
