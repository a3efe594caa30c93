import {install, type Clock} from '@sinonjs/fake-timers';
import {createFailure, SilentLogger, type PoisonMark} from '@limpetbarrow/core';
import {expect} from 'chai';
import {EitherAsync, Left, Right} from 'purify-ts';
import {MarkStorage, markWriteSpacingMs} from '../../fleet/mark-storage.js';

function createMark(fingerprint: string): PoisonMark {
	return {fingerprint, serverIds: ['server-1'], expiresAt: 1};
}

describe('storage of poison marks', () => {
	let clock: Clock;
	let storage: MarkStorage;
	let written: ReadonlyArray<readonly string[]>;
	let isFailing: boolean;

	beforeEach(() => {
		clock = install();
		written = [];
		isFailing = false;
		storage = new MarkStorage({
			writeMarks(marks) {
				written = [...written, marks.map(({fingerprint}) => fingerprint)];
				return EitherAsync.liftEither(isFailing ? Left(createFailure('platformUnavailable', 'a fault of the test')) : Right(undefined));
			},
			logger: new SilentLogger(),
		});
	});

	afterEach(() => {
		storage.stop();
		clock.uninstall();
	});

	it('writes the first change at once', async () => {
		storage.update([createMark('p')]);
		await clock.tickAsync(0);
		expect(written).to.deep.equal([['p']]);
	});

	// Guards against a caller who spends the store's calls by crashing backend servers.
	it('joins the changes within the spacing into one call', async () => {
		['a', 'b', 'c', 'd'].forEach(fingerprint => {
			storage.update([createMark(fingerprint)]);
		});
		await clock.tickAsync(markWriteSpacingMs);
		expect(written).to.deep.equal([['a'], ['d']]);
		await clock.tickAsync(60_000);
		expect(written.length).to.equal(2);
	});

	it('tries again until the store has the marks', async () => {
		isFailing = true;
		storage.update([createMark('p')]);
		await clock.tickAsync(8000);
		expect(written.length).to.be.within(3, 8);
		isFailing = false;
		await clock.tickAsync(4000);
		const calls = written.length;
		await clock.tickAsync(60_000);
		expect(written.length).to.equal(calls);
	});
});
