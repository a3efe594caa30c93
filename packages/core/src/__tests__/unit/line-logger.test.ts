import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {LineLogger, type LineLoggerBounds} from '../../index.js';

const bounds: LineLoggerBounds = {
	linesPerS: 10, burstLines: 20, maxBytes: 10_000, flushMs: 200,
};

describe('LineLogger', () => {
	let clock: Clock;
	let written: readonly string[];
	/** Completes the write in progress. A test that never calls it simulates a pipe that nobody reads. */
	let finishWrite: () => void;
	let logger: LineLogger;

	beforeEach(() => {
		clock = install();
		written = [];
		finishWrite = () => undefined;
		logger = new LineLogger((bytes, handleDone) => {
			written = [...written, ...new TextDecoder().decode(bytes).trim().split('\n')];
			finishWrite = handleDone;
		}, 'info', {node: 'n'}, bounds);
	});

	afterEach(() => {
		clock.uninstall();
	});

	function logMany(count: number): void {
		Array.from({length: count}).forEach(() => {
			logger.log('requestRefused', {request: 'r'});
		});
	}

	it('writes one line of JSON for each event, after the flush delay', () => {
		logger.log('requestRefused', {request: 'r-1', code: 3009});
		expect(written).to.deep.equal([]);
		clock.tick(200);
		expect(JSON.parse(written[0]!)).to.include({
			name: 'requestRefused', event: 108, level: 'info', node: 'n', request: 'r-1', code: 3009,
		});
	});

	it('skips events below its level and applies a changed level to later events', () => {
		logger.log('serverRan');
		logger.setLevel('debug');
		logger.log('serverRan');
		clock.tick(200);
		expect(written.length).to.equal(1);
	});

	describe('when events arrive faster than they can be written', () => {
		it('limits the rate of lines and reports how many it dropped', () => {
			logMany(100);
			clock.tick(200);
			finishWrite();
			expect(written.length).to.equal(20);
			clock.tick(1000);
			logMany(1);
			clock.tick(200);
			expect(JSON.parse(written[20]!)).to.include({name: 'logLinesDropped', count: 80});
		});

		it('buffers at most maxBytes for a pipe that nobody reads, without blocking', () => {
			Array.from({length: 100}).forEach(() => {
				logMany(20);
				clock.tick(2000);
			});
			expect(written.length).to.equal(20);
			finishWrite();
			clock.tick(200);
			expect(written.join('\n').length).to.be.below(2 * bounds.maxBytes);
		});
	});
});
