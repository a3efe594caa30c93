import {expect} from 'chai';
import fc from 'fast-check';
import {foldResult, type Failure, type ResultName} from '@limpetbarrow/core';
import {MemoryPlatform, type MemoryFault} from '@limpetbarrow/stand-ins';
import {
	hashNote, parseRelease, type Release, type ReleaseNote,
} from '../../index.js';
import {createNote, createOperator, type Operator} from './notes.js';

const runs = {seed: 20_261, numRuns: 400};
const operatorCount = 3;

/** One operator applies one note; `faults` are injected into its platform calls in order. */
type Attempt = {
	readonly operator: number;
	readonly noteId: string;
	readonly floor: number;
	/** Number of releases by which the note's base is behind the last release. */
	readonly releasesBehind: number;
	readonly faults: readonly MemoryFault[];
	readonly restarts: boolean;
};

/** Concurrent attempts, and whether delayed writes are completed after them. */
type Round = {
	readonly attempts: readonly Attempt[];
	readonly finishesLate: boolean;
};

type Call = {
	readonly note: ReleaseNote;
	/** Start and end in steps of a logical clock that advances with each of them. */
	readonly startedAt: number;
	readonly endedAt: number;
	readonly accepted?: Release;
	readonly refusal?: ResultName;
};

const faultArbitrary = fc.oneof(
	{arbitrary: fc.constant<MemoryFault>('none'), weight: 6},
	{arbitrary: fc.constantFrom<MemoryFault>('refused', 'lost', 'late', 'stale'), weight: 4},
);
const attemptArbitrary: fc.Arbitrary<Attempt> = fc.record({
	operator: fc.nat(operatorCount - 1),
	noteId: fc.constantFrom('a', 'b', 'c', 'd'),
	floor: fc.constantFrom(1, 1, 1, 2),
	releasesBehind: fc.constantFrom(0, 0, 0, 1),
	faults: fc.array(faultArbitrary, {maxLength: 12}),
	restarts: fc.boolean(),
});
const roundsArbitrary: fc.Arbitrary<readonly Round[]> = fc.array(fc.record({
	attempts: fc.array(attemptArbitrary, {minLength: 1, maxLength: 3}),
	finishesLate: fc.boolean(),
}), {minLength: 1, maxLength: 8});

function readLog(platform: MemoryPlatform): readonly Release[] {
	return platform.history.list('releases/').objects.map(({value}) => parseRelease(JSON.parse(value)).unsafeCoerce());
}

function isSame(a: ReleaseNote, b: ReleaseNote): boolean {
	return a.id === b.id && hashNote(a) === hashNote(b);
}

/** Runs the rounds one after another and returns each attempt with the result that its operator got. */
async function runRounds(platform: MemoryPlatform, rounds: readonly Round[], scheduler: fc.Scheduler): Promise<readonly Call[]> {
	const calls: Call[] = [];
	let faults: readonly MemoryFault[] = [];
	let time = 0;
	const operators: Operator[] = [];
	const startOperator = (index: number): void => {
		operators[index] = createOperator(platform, () => {
			const [fault = 'none', ...rest] = faults;
			faults = rest;
			return fault;
		}, async () => scheduler.schedule(Promise.resolve()));
	};

	const runAttempt = async ({operator, noteId, floor, releasesBehind, restarts}: Attempt): Promise<void> => {
		if (restarts || !operators[operator]) {
			startOperator(operator);
		}

		const base = Math.max(0, readLog(platform).length - releasesBehind);
		const note = createNote(noteId, base, {added: {services: [{name: `service-${noteId}`, floor}]}});
		const startedAt = time++;
		const result = await operators[operator]!.acceptor.accept(note).run();
		calls.push(foldResult<Failure, Release, Call>(
			result,
			({name}) => ({
				note, startedAt, endedAt: time++, refusal: name,
			}),
			accepted => ({
				note, startedAt, endedAt: time++, accepted,
			}),
		));
	};

	await rounds.reduce(async (before, {attempts, finishesLate}) => {
		await before;
		faults = attempts.flatMap(attempt => attempt.faults);
		const running = Promise.all(attempts.map(async attempt => runAttempt(attempt)));
		await scheduler.waitFor(running);
		if (finishesLate) {
			platform.finishLateWrites();
		}
	}, Promise.resolve());
	platform.finishLateWrites();
	return calls;
}

function checkCall(call: Call, calls: readonly Call[], log: readonly Release[]): void {
	const {note, accepted, refusal, startedAt} = call;
	if (accepted) {
		const logged = log[accepted.number - 1];
		expect(logged && isSame(logged.note, note), `reported as accepted but not in the log: ${note.id} as ${accepted.number}`).to.equal(true);
		return;
	}

	const found = log.find(release => isSame(release.note, note));
	const writers = calls.filter(other => other !== call && other.note.base + 1 === found?.number && isSame(other.note, note));
	if (found && refusal === 'releaseConflict') {
		expect(writers.some(other => other.endedAt > startedAt), `reported as a conflict although an earlier attempt had put it in the log: ${note.id}`).to.equal(true);
	}

	if (found && refusal !== 'releaseUnknown' && found.number === note.base + 1) {
		expect(writers.length, `reported as ${refusal} but in the log: ${note.id}`).to.be.greaterThan(0);
	}
}

describe('several operators with platform faults in any order', () => {
	it('put each note in the log at most once, without gaps, and get results that match the log', async () => {
		const countsByResult = new Map<string, number>();
		await fc.assert(fc.asyncProperty(roundsArbitrary, fc.scheduler(), async (rounds, scheduler) => {
			const platform = new MemoryPlatform();
			const calls = await runRounds(platform, rounds, scheduler);
			const log = readLog(platform);
			expect(log.map(({number}) => number)).to.deep.equal(log.map((_, index) => index + 1));
			expect(new Set(log.map(({note}) => note.id)).size, 'the log holds a note twice').to.equal(log.length);
			expect(log.every(({number, note}) => note.base + 1 === number), 'a release is not based on the one before it').to.equal(true);
			calls.forEach(call => {
				checkCall(call, calls, log);
				const resultName = call.refusal ?? 'accepted';
				countsByResult.set(resultName, (countsByResult.get(resultName) ?? 0) + 1);
			});
		}), runs);
		expect([...countsByResult.keys()]).to.include.members(['accepted', 'releaseConflict', 'releaseNotAccepted', 'releaseUnknown']);
	});
});
