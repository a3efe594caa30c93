import {expect} from 'chai';
import {logEvents, resultCodes} from '@limpetbarrow/core';
import {
	findNameFaults, formatLogEvents, formatResultCodes, listSourceFiles, readRepositoryFile, readVerbs, replaceTable,
} from '../../index.js';

const maxFileLines = 400;
const files = listSourceFiles();

function listUnused(names: readonly string[], tableFile: string): readonly string[] {
	const source = files.filter(({path}) => !path.endsWith(tableFile) && !path.includes('__tests__')).map(({text}) => text).join('\n');
	return names.filter(name => !source.includes(`'${name}'`));
}

describe('the tree', () => {
	describe('result codes', () => {
		it('have numbers of their own', () => {
			const codes = Object.values(resultCodes).map(({code}) => code);
			expect(new Set(codes).size).to.equal(codes.length);
		});

		it('are the same in the docs', () => {
			const page = readRepositoryFile('docs/RESULT-CODES.md');
			expect(page).to.equal(replaceTable(page, formatResultCodes()));
		});

		it('are each used in the source', () => {
			expect(listUnused(Object.keys(resultCodes), 'result-codes.ts')).to.deep.equal([]);
		});
	});

	describe('log events', () => {
		it('have numbers of their own', () => {
			const numbers = Object.values(logEvents).map(({number}) => number);
			expect(new Set(numbers).size).to.equal(numbers.length);
		});

		it('are the same in the docs', () => {
			const page = readRepositoryFile('docs/LOG-EVENTS.md');
			expect(page).to.equal(replaceTable(page, formatLogEvents()));
		});

		it('are each used in the source', () => {
			expect(listUnused(Object.keys(logEvents), 'log-events.ts')).to.deep.equal([]);
		});
	});

	describe('names', () => {
		it('of functions begin with a verb of docs/NAMES.md', () => {
			const verbs = readVerbs();
			expect(files.flatMap(file => findNameFaults(file, verbs))).to.deep.equal([]);
		});
	});

	describe('files', () => {
		it('have at most 400 lines', () => {
			const long = files.filter(({text}) => text.split('\n').length > maxFileLines).map(({path}) => path);
			expect(long).to.deep.equal([]);
		});

		it('import other packages by their public face only', () => {
			const deep = files.filter(({text}) => /from '@limpetbarrow\/[^'\/]+\//v.test(text) || /from '(?:\.\.\/){3,}/v.test(text)).map(({path}) => path);
			expect(deep).to.deep.equal([]);
		});
	});
});
