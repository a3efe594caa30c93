/** `npm run bench -- NAME`: runs the benchmarks named, all of them without a name. */
import process from 'node:process';
import {benchmarks} from './index.js';

const names = process.argv.slice(2);
const unknown = names.filter(name => !benchmarks.has(name));

async function runBenchmarks(selected: readonly string[]): Promise<number> {
	const [name, ...rest] = selected;
	const benchmark = name === undefined ? undefined : benchmarks.get(name);
	if (!benchmark) {
		return 0;
	}

	process.stdout.write(`\n== ${name}\n`);
	const code = await benchmark();
	return Math.max(code, await runBenchmarks(rest));
}

if (unknown.length > 0) {
	process.stderr.write(`unknown benchmarks: ${unknown.join(', ')}; known: ${[...benchmarks.keys()].join(', ')}\n`);
	process.exitCode = 2;
} else {
	process.exitCode = await runBenchmarks(names.length > 0 ? names : [...benchmarks.keys()]);
}
