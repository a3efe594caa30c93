/** Runs all tests with mocha, passes over just those that KNOWN-RED.txt lists, and prints them. */
import {existsSync, readdirSync} from 'node:fs';
import process from 'node:process';
import Mocha from 'mocha';
import {judgeFailures, parseKnownRed, type Verdict} from './known-red.js';
import {readRepositoryFile, repositoryRoot} from './source-files.js';

const testTimeoutMs = 60_000;
const knownRedFile = 'KNOWN-RED.txt';

type TestCounts = {
	readonly passed: number;
	readonly failedTitles: readonly string[];
};

function listTestFiles(): readonly string[] {
	return ['packages', 'platform']
		.flatMap(folder => readdirSync(`${repositoryRoot}${folder}`, {recursive: true, encoding: 'utf8'}).map(path => `${folder}/${path}`))
		.filter(path => /^(?:packages\/[^\/]+|platform)\/dist\/__tests__\/.*\.test\.js$/v.test(path))
		.toSorted((a, b) => a.localeCompare(b))
		.map(path => `${repositoryRoot}${path}`);
}

async function runMocha(): Promise<TestCounts> {
	const mocha = new Mocha({timeout: testTimeoutMs, forbidOnly: true, forbidPending: true});
	listTestFiles().forEach(file => {
		mocha.addFile(file);
	});
	await mocha.loadFilesAsync();
	const failedTitles: string[] = [];
	let passed = 0;
	return new Promise(resolve => {
		const runner = mocha.run(() => {
			resolve({passed, failedTitles});
		});
		runner.on('pass', () => {
			passed++;
		});
		runner.on('fail', test => {
			failedTitles.push(test.fullTitle());
		});
	});
}

function readVerdict(failedTitles: readonly string[]): Verdict {
	const text = existsSync(`${repositoryRoot}${knownRedFile}`) ? readRepositoryFile(knownRedFile) : '';
	return judgeFailures(failedTitles, parseKnownRed(text));
}

const {passed, failedTitles} = await runMocha();
const {unlisted, listed} = readVerdict(failedTitles);
listed.forEach(({title, command, seen, issue}) => {
	process.stdout.write(`KNOWN RED, passed over: ${title} | ${command} | ${seen} | ${issue}\n`);
});
process.stdout.write(`${passed} passed, ${unlisted.length} failed, ${listed.length} skipped\n`);
process.exit(unlisted.length > 0 || passed === 0 ? 1 : 0);
