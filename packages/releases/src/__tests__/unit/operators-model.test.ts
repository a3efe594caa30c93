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

/** One operator applies one note; faults strike its calls in order. */
type App = {
	readonly operator: number;
	readonly noteId: string;
	readonly floor: number;
	/** How far the operator's view of the log is behind when the base is chosen. */
	readonly behind: number;
	readonly faults: readonly MemoryFault[];
	readonly restarts: boolean;
};

/** Applications at the same time, and whether late writes arrive after them. */
type Round = {
	readonly applications: readonly App[];
	readonly finishesLate: boolean;
};

type Call = {
	readonly note: ReleaseNote;
	/** Start and end by a clock that counts both. */
	readonly startedAt: number;
	readonly endedAt: number;
	readonly accepted?: Release;
	readonly refusal?: ResultName;
};

const faultArbitrary = fc.oneof(
	{arbitrary: fc.constant<MemoryFault>('none'), weight: 6},
	{arbitrary: fc.constantFrom<MemoryFault>('refused', 'lost', 'late', 'stale'), weight: 4},
);
const appArbitrary: fc.Arbitrary<App> = fc.record({
	operator: fc.nat(operatorCount - 1),
	noteId: fc.constantFrom('a', 'b', 'c', 'd'),
	floor: fc.constantFrom(1, 1, 1, 2),
	behind: fc.constantFrom(0, 0, 0, 1),
	faults: fc.array(faultArbitrary, {maxLength: 12}),
	restarts: fc.boolean(),
});
const roundsArbitrary: fc.Arbitrary<readonly Round[]> = fc.array(fc.record({
	applications: fc.array(appArbitrary, {minLength: 1, maxLength: 3}),
	finishesLate: fc.boolean(),
}), {minLength: 1, maxLength: 8});

function readLog(platform: MemoryPlatform): readonly Release[] {
	return platform.history.list('releases/').objects.map(({value}) => parseRelease(JSON.parse(value)).unsafeCoerce());
}

function isSame(a: ReleaseNote, b: ReleaseNote): boolean {
	return a.id === b.id && hashNote(a) === hashNote(b);
}

/** Applies the rounds one after another and returns what the operators were told. */
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

	const runApp = async ({operator, noteId, floor, behind, restarts}: App): Promise<void> => {
		if (restarts || !operators[operator]) {
			startOperator(operator);
		}

		const base = Math.max(0, readLog(platform).length - behind);
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

	await rounds.reduce(async (before, {applications, finishesLate}) => {
		await before;
		faults = applications.flatMap(app => app.faults);
		const running = Promise.all(applications.map(async app => runApp(app)));
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
		expect(logged && isSame(logged.note, note), `told accepted: ${note.id} as ${accepted.number}`).to.equal(true);
		return;
	}

	const found = log.find(release => isSame(release.note, note));
	const writers = calls.filter(other => other !== call && other.note.base + 1 === found?.number && isSame(other.note, note));
	if (found && refusal === 'releaseConflict') {
		expect(writers.some(other => other.endedAt > startedAt), `told conflict, in the log by an earlier attempt: ${note.id}`).to.equal(true);
	}

	if (found && refusal !== 'releaseUnknown' && found.number === note.base + 1) {
		expect(writers.length, `told ${refusal}, in the log: ${note.id}`).to.be.greaterThan(0);
	}
}

describe('several operators with faults of the platform in any order', () => {
	it('have one note a number, one number a note, and are told the truth', async () => {
		const seen = new Map<string, number>();
		await fc.assert(fc.asyncProperty(roundsArbitrary, fc.scheduler(), async (rounds, scheduler) => {
			const platform = new MemoryPlatform();
			const calls = await runRounds(platform, rounds, scheduler);
			const log = readLog(platform);
			expect(log.map(({number}) => number)).to.deep.equal(log.map((_, index) => index + 1));
			expect(new Set(log.map(({note}) => note.id)).size, 'a note is in the log twice').to.equal(log.length);
			expect(log.every(({number, note}) => note.base + 1 === number), 'a release on another base').to.equal(true);
			calls.forEach(call => {
				checkCall(call, calls, log);
				const told = call.refusal ?? 'accepted';
				seen.set(told, (seen.get(told) ?? 0) + 1);
			});
		}), runs);
		expect([...seen.keys()]).to.include.members(['accepted', 'releaseConflict', 'releaseNotAccepted', 'releaseUnknown']);
	});
});
