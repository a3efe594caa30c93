/** `npm run docs`: writes the tables that the checks compare. */
import {writeFileSync} from 'node:fs';
import {formatLogEvents, formatResultCodes, replaceTable} from './doc-tables.js';
import {readRepositoryFile, repositoryRoot} from './source-files.js';

function writeTable(path: string, table: string): void {
	writeFileSync(`${repositoryRoot}${path}`, replaceTable(readRepositoryFile(path), table));
}

writeTable('docs/RESULT-CODES.md', formatResultCodes());
writeTable('docs/LOG-EVENTS.md', formatLogEvents());
