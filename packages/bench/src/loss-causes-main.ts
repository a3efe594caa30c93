/** `npm run causes < LOG`: prints why the requests of a fleet's log lines were not served. */
import process from 'node:process';
import {createInterface} from 'node:readline/promises';
import {countCauses, countLossesBySecond, findRequestResults} from './loss-causes.js';

const lines: string[] = [];
const reader = createInterface({input: process.stdin});
reader.on('line', line => {
	lines.push(line);
});
reader.once('close', () => {
	const results = findRequestResults(lines);
	[...countCauses(results)].forEach(([kind, counts]) => {
		process.stdout.write(`${kind}\n${[...counts].map(([label, count]) => `  ${String(count).padStart(6)}  ${label}\n`).join('')}`);
	});
	process.stdout.write(`not served by second: ${countLossesBySecond(results).join(' ')}\n`);
});
