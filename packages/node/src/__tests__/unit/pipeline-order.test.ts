import {setTimeout as wait} from 'node:timers/promises';
import {expect} from 'chai';
import fc from 'fast-check';
import {formatRequest, PipelineFixture, waitUntil} from '../pipeline-fixture.js';

const seed = 20_261_204;

describe('pipelined requests', () => {
	let fixture: PipelineFixture;

	async function startFixture(): Promise<void> {
		fixture = new PipelineFixture();
		await fixture.start();
	}

	async function closeFixture(): Promise<void> {
		await fixture.close();
	}

	describe('answered, started and failed in any order', () => {
		const bytes = 60;
		/** What becomes of a response, and when its events happen, by rank: with `isStarted`, a part of it comes first. */
		type Fate = {readonly isStarted: boolean; readonly isFailed: boolean; readonly startRank: number; readonly endRank: number};

		/** Returns the answers due, and whether the connection is reset, as a caller sees it. */
		function computeAnswers(fates: readonly Fate[]): {readonly answers: readonly string[]; readonly isReset: boolean} {
			// The moment from which a response is written: when those before it have ended.
			const turns = fates.map((_, index) => Math.max(-1, ...fates.slice(0, index).map(({endRank}) => endRank)));
			const last = fates.length - 1;
			const {isStarted, isFailed, endRank} = fates[last]!;
			// A response with requests behind it is held until it is complete, so only the last one can be cut off.
			const cut = isFailed && isStarted && turns[last]! < endRank ? last : -1;
			const answers = fates.map((fate, index) => fate.isFailed ? '502' : `200 /p${index}`);
			return {answers: cut === -1 ? answers : answers.slice(0, cut), isReset: cut !== -1};
		}

		function endAnswer({isStarted, isFailed}: Fate, path: string): void {
			if (isFailed) {
				fixture.carrier.fail(path);
			} else if (isStarted) {
				fixture.carrier.finishAnswer(path, bytes);
			} else {
				fixture.carrier.answer(path);
			}
		}

		function listEvents(fate: Fate, path: string): ReadonlyArray<{readonly rank: number; readonly run: () => void}> {
			const start = {
				rank: fate.startRank, run() {
					fixture.carrier.startAnswer(path, bytes);
				},
			};
			const end = {
				rank: fate.endRank, run() {
					endAnswer(fate, path);
				},
			};
			return fate.isStarted ? [start, end] : [end];
		}

		// Guards against responses that are lost, doubled or out of order, and against a reset that no truncated response needs.
		it('get each its whole response, its failure, or a reset where a part of it had been sent', async function () {
			this.timeout(60_000);
			const fate = fc.record({
				isStarted: fc.boolean(), isFailed: fc.boolean(), startRank: fc.integer({min: 0, max: 99}), endRank: fc.integer({min: 0, max: 99}),
			});
			await fc.assert(fc.asyncProperty(fc.array(fate, {minLength: 1, maxLength: 8}), async drawn => {
				await startFixture();
				// Ranks are made distinct, and every start comes before its end.
				const fates = drawn.map(({startRank, endRank, ...one}, index) => ({
					...one, startRank: (Math.min(startRank, endRank) * 20) + index, endRank: (Math.max(startRank, endRank) * 20) + 10 + index,
				}));
				fixture.socket.write(fates.map((_, index) => formatRequest(`/p${index}`)).join(''));
				await fixture.hasOpened(fates.length);
				const events = fates.flatMap((one, index) => listEvents(one, `/p${index}`));
				await events.toSorted((a, b) => a.rank - b.rank).reduce(async (before, {run}) => {
					await before;
					run();
					await wait(2);
				}, Promise.resolve());
				const {answers, isReset} = computeAnswers(fates);
				await waitUntil(() => fixture.listAnswers().length === answers.length && fixture.isClosed === isReset, 500);
				const seen = {answers: fixture.listAnswers(), isReset: fixture.isClosed};
				await closeFixture();
				expect(seen).to.deep.equal({answers, isReset});
			}), {numRuns: 100, seed});
		});
	});

	describe('answered in any order and split into any segments', () => {
		it('get their own whole responses in order, and each is forwarded exactly once', async function () {
			this.timeout(60_000);
			const run = fc.record({
				count: fc.integer({min: 1, max: 12}),
				cuts: fc.array(fc.integer({min: 1, max: 400}), {maxLength: 5}),
				order: fc.array(fc.nat(), {minLength: 12, maxLength: 12}),
				sizes: fc.array(fc.integer({min: 0, max: 3000}), {minLength: 12, maxLength: 12}),
			});
			await fc.assert(fc.asyncProperty(run, async ({count, cuts, order, sizes}) => {
				await startFixture();
				const paths = Array.from({length: count}, (_, index) => `/p${index}`);
				const text = paths.map(path => formatRequest(path)).join('');
				const bounds = [0, ...cuts.filter(cut => cut < text.length).toSorted((a, b) => a - b), text.length];
				await bounds.slice(1).reduce(async (before, bound, index) => {
					await before;
					fixture.socket.write(text.slice(bounds[index], bound));
					await wait(1);
				}, Promise.resolve());
				await fixture.hasOpened(count);
				paths.map((path, index) => ({path, rank: order[index]!, size: sizes[index]!})).toSorted((a, b) => a.rank - b.rank).forEach(({path, size}) => {
					fixture.carrier.answer(path, `answer to ${path};${'.'.repeat(size)}`);
				});
				await waitUntil(() => fixture.listBodies().length === count);
				const forwarded = fixture.carrier.listPaths();
				const bodies = fixture.listBodies();
				await closeFixture();
				expect({forwarded, bodies}).to.deep.equal({forwarded: paths, bodies: paths});
			}), {numRuns: 60, seed});
		});
	});
});
