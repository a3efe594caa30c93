import {setTimeout as wait} from 'node:timers/promises';
import {expect} from 'chai';
import fc from 'fast-check';
import {formatRequest, PipelineFixture, waitUntil} from '../pipeline-fixture.js';

const seed = 20_261_205;
const bytes = 60;
/** Time for a written request or response to arrive, in milliseconds. */
const stepMs = 2;

/** One step of a schedule; `pick` chooses the request that it concerns. */
type Step = {
	readonly kind: 'send' | 'start' | 'end' | 'fail' | 'stop';
	readonly pick: number;
};

/** Plays a schedule of one caller's requests and of their responses, and keeps what became of each. */
class Schedule {
	readonly fixture = new PipelineFixture();
	#sentCount = 0;
	readonly #started = new Set<string>();
	/** Expected answers by path: the status, and the path for a success. */
	readonly #ended = new Map<string, string>();

	async run(steps: readonly Step[]): Promise<void> {
		await this.fixture.start();
		await steps.reduce(async (before, step) => {
			await before;
			this.#runStep(step);
			await wait(stepMs);
		}, Promise.resolve());
		await this.#endAll();
	}

	/** Answers due for the forwarded requests, in their order. */
	listDueAnswers(): readonly string[] {
		return this.fixture.carrier.listPaths().map(path => this.#ended.get(path) ?? 'none');
	}

	countSent(): number {
		return this.#sentCount;
	}

	#runStep({kind, pick}: Step): void {
		const {carrier, ingress, socket, isClosed} = this.fixture;
		const open = carrier.listPaths().filter(path => !this.#ended.has(path));
		const path = open[pick % Math.max(1, open.length)];
		if (kind === 'send' && !isClosed) {
			socket.write(formatRequest(`/p${this.#sentCount}`));
			this.#sentCount++;
		} else if (kind === 'stop') {
			ingress.startStopping();
		} else if (path !== undefined && kind === 'start' && !this.#started.has(path)) {
			this.#started.add(path);
			carrier.startAnswer(path, bytes);
		} else if (path !== undefined && kind === 'end') {
			this.#end(path);
		} else if (path !== undefined && kind === 'fail') {
			this.#ended.set(path, '502');
			carrier.fail(path);
		}
	}

	#end(path: string): void {
		this.#ended.set(path, `200 ${path}`);
		if (this.#started.has(path)) {
			this.fixture.carrier.finishAnswer(path, bytes);
		} else {
			this.fixture.carrier.answer(path);
		}
	}

	/** Ends what is open, and what is forwarded after that, until all requests are answered or the connection has closed. */
	async #endAll(): Promise<void> {
		await waitUntil(() => {
			this.fixture.carrier.listPaths().filter(path => !this.#ended.has(path)).forEach(path => {
				this.#end(path);
			});
			return this.fixture.isClosed || this.fixture.listAnswers().length === this.#sentCount;
		});
	}
}

describe('requests and responses of one connection, in any order', () => {
	// Guards against a request that runs and loses its answer to another response on its connection.
	it('give each forwarded request its answer in order; a reset costs only the response that failed in the middle', async function () {
		this.timeout(60_000);
		const step = fc.record({
			kind: fc.constantFrom<Step['kind']>('send', 'send', 'send', 'start', 'start', 'end', 'end', 'fail', 'stop'), pick: fc.nat({max: 9}),
		});
		await fc.assert(fc.asyncProperty(fc.array(step, {minLength: 3, maxLength: 24}), async steps => {
			const schedule = new Schedule();
			const {fixture} = schedule;
			await schedule.run([{kind: 'send', pick: 0}, ...steps]);
			const answers = fixture.listAnswers();
			const due = schedule.listDueAnswers();
			const isReset = fixture.isClosed && answers.length < due.length;
			const isStopping = steps.some(({kind}) => kind === 'stop');
			const seen = {answers, isAllAnswered: isStopping || isReset || answers.length === schedule.countSent()};
			await fixture.close();
			expect(seen).to.deep.equal({answers: isReset ? due.slice(0, -1) : due, isAllAnswered: true});
			expect(isReset ? due.at(-1) : '502').to.equal('502');
		}), {numRuns: 100, seed});
	});
});
