import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {LineLogger, type LineBounds} from '../../index.js';

const bounds: LineBounds = {
	linesPerS: 10, burstLines: 20, maxBytes: 10_000, flushMs: 200,
};

describe('line logger', () => {
	let clock: Clock;
	let written: readonly string[];
	/** Ends the write in progress; a pipe that nobody reads never calls it. */
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

	it('writes one line of JSON for each event, gathered for a moment', () => {
		logger.log('requestRefused', {request: 'r-1', code: 3009});
		expect(written).to.deep.equal([]);
		clock.tick(200);
		expect(JSON.parse(written[0]!)).to.include({
			name: 'requestRefused', event: 108, level: 'info', node: 'n', request: 'r-1', code: 3009,
		});
	});

	it('leaves out what is below its level, which may change', () => {
		logger.log('serverRan');
		logger.setLevel('debug');
		logger.log('serverRan');
		clock.tick(200);
		expect(written.length).to.equal(1);
	});

	describe('under load', () => {
		it('bounds the lines a second, and counts those left out', () => {
			logMany(100);
			clock.tick(200);
			finishWrite();
			expect(written.length).to.equal(20);
			clock.tick(1000);
			logMany(1);
			clock.tick(200);
			expect(JSON.parse(written[20]!)).to.include({name: 'logLinesDropped', count: 80});
		});

		it('holds no more than its bytes for a pipe that nobody reads, and waits for none of it', () => {
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
