/** The tables of docs/RESULT-CODES.md and docs/LOG-EVENTS.md, made from the source. */
import {logEvents, resultCodes} from '@limpetbarrow/core';

function formatTable(head: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
	const lines = [head, head.map(() => '---'), ...rows].map(cells => `| ${cells.join(' | ')} |`);
	return `${lines.join('\n')}\n`;
}

/** The table of result codes. */
export function formatResultCodes(): string {
	const rows = Object.entries(resultCodes).map(([name, {code, status, ran, resend, meaning}]) => [String(code), name, String(status), ran, resend, meaning]);
	return formatTable(['code', 'name', 'HTTP status', 'ran', 'resend', 'meaning'], rows);
}

/** The catalogue of log events. */
export function formatLogEvents(): string {
	const rows = Object.entries(logEvents).map(([name, {number, level, meaning}]) => [String(number), name, level, meaning]);
	return formatTable(['number', 'name', 'level', 'meaning'], rows);
}

const tableStart = '<!-- table -->\n';

/** Replaces the table that ends a page. */
export function replaceTable(page: string, table: string): string {
	return `${page.slice(0, page.indexOf(tableStart) + tableStart.length)}${table}`;
}
