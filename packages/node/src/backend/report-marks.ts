/** Reports changes of a node's poison marks. */
import {type Logger} from '@limpetbarrow/core';
import {type MarkChange} from './quarantine.js';

export function reportMarks(logger: Logger, {cause, marks}: MarkChange): void {
	switch (cause) {
		case 'crash': {
			logger.log('poisonMarked', {fingerprint: marks.at(-1)?.fingerprint, servers: marks.at(-1)?.serverIds.join(',')});
			break;
		}

		case 'answer': {
			logger.log('poisonCleared', {marks: marks.length});
			break;
		}

		case 'restart': {
			logger.log('poisonRestored', {marks: marks.length});
			break;
		}
	}
}
