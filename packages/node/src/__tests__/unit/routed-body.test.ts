import {Buffer} from 'node:buffer';
import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import fc from 'fast-check';
import {createFailure, exchangeWindowBytes, type Exchange} from '@limpetbarrow/core';
import {RouterFixture, type FakeAttempt} from '../router-fixture.js';

const seed = 20_261_205;
const remainingMs = 60_000;
/** Repeats at a length that no size of a part or window is a multiple of. */
const pattern = Buffer.from(Uint8Array.from({length: 251}, (_, index) => index));

/** A caller that sends a body in parts, each only while the request has credit left for it, as the ingress does. */
class SendingCaller {
	readonly #exchange: Exchange;
	readonly #body: Uint8Array;
	readonly #partSizes: readonly number[];
	#sentBytes = 0;
	#sentParts = 0;
	#creditBytes = exchangeWindowBytes;
	#isEnded = false;

	constructor(fixture: RouterFixture, body: Uint8Array, partSizes: readonly number[], isLengthKnown: boolean) {
		this.#body = body;
		this.#partSizes = partSizes;
		this.#exchange = fixture.openUpload({
			isRepeatable: false, remainingMs, objectiveMs: remainingMs, headers: isLengthKnown ? ['content-length', String(body.length)] : ['transfer-encoding', 'chunked'],
		}, bytes => {
			this.#creditBytes += bytes;
		});
	}

	/** Number of bytes that may still be sent; 0 or less when the caller has to wait. */
	getCredit(): number {
		return this.#creditBytes;
	}

	send(): void {
		while (this.#creditBytes > 0 && this.#sentBytes < this.#body.length) {
			const size = this.#partSizes[this.#sentParts % this.#partSizes.length]!;
			const part = this.#body.subarray(this.#sentBytes, this.#sentBytes + size);
			this.#sentParts++;
			this.#sentBytes += part.length;
			this.#creditBytes -= part.length;
			this.#exchange.writeBody(part);
		}

		if (this.#sentBytes === this.#body.length && this.#creditBytes > 0 && !this.#isEnded) {
			this.#isEnded = true;
			this.#exchange.endBody();
		}
	}
}

function createBody(bytes: number): Uint8Array {
	return Buffer.alloc(bytes, pattern);
}

function isSame(one: Uint8Array, other: Uint8Array): boolean {
	return Buffer.compare(one, other) === 0;
}

/** Answers the attempt once it has the whole body; consumes what has arrived. */
function runAttempt(attempt: FakeAttempt): boolean {
	attempt.readBody();
	if (attempt.isEnded) {
		attempt.answer();
	}

	return attempt.isEnded;
}

describe('the body of a routed request', () => {
	let clock: Clock;
	let fixture: RouterFixture;

	beforeEach(() => {
		clock = install();
		fixture = new RouterFixture();
	});

	afterEach(() => {
		clock.uninstall();
	});

	/** Lets the caller send and the attempts consume until nothing moves any more. */
	function runUntilAnswered(caller: SendingCaller, rounds = 200): void {
		caller.send();
		const isAnswered = fixture.listAttempts().filter(({isCancelled, isRefused, isAccepted}) => isAccepted && !isCancelled && !isRefused).some(attempt => runAttempt(attempt));
		if (!isAnswered && rounds > 0) {
			runUntilAnswered(caller, rounds - 1);
		}
	}

	// Guards against a request that is run with a hole in its body: the part that filled the window was neither kept nor sent.
	it('of more than a window reaches another node whole when that accepts later', () => {
		const body = createBody(200_000);
		const caller = new SendingCaller(fixture, body, [10_000], false);
		caller.send();
		const [attempt] = fixture.getAttempts('near');
		expect(attempt!.getBody().length).to.equal(0);
		attempt!.accept();
		runUntilAnswered(caller);
		expect(isSame(attempt!.getBody(), body)).to.equal(true);
		expect(fixture.outcomes).to.deep.equal(['200', 'end']);
	});

	// Guards against an upload that stops for good: the caller waited for credit and the request for more of the body.
	[['in chunks', false], ['with a length', true]].forEach(([form, isLengthKnown]) => {
		it(`of exactly a window ${String(form)} is sent without waiting for more of it`, () => {
			const body = createBody(exchangeWindowBytes);
			const caller = new SendingCaller(fixture, body, [16_384], Boolean(isLengthKnown));
			caller.send();
			fixture.getAttempts('near')[0]!.accept();
			runUntilAnswered(caller);
			expect(fixture.outcomes).to.deep.equal(['200', 'end']);
		});
	});

	// Guards against a refusal of a large upload that another backend server would take.
	it('of more than a window is sent from its beginning to a second node when the first one does not accept', async () => {
		const body = createBody(100_000);
		const caller = new SendingCaller(fixture, body, [30_000], true);
		caller.send();
		fixture.getAttempts('near')[0]!.refuse(createFailure('queueFull', 'no room'));
		await clock.tickAsync(1);
		fixture.getAttempts('far')[0]!.accept();
		runUntilAnswered(caller);
		expect(isSame(fixture.getAttempts('far')[0]!.getBody(), body)).to.equal(true);
		expect(fixture.outcomes).to.deep.equal(['200', 'end']);
	});

	it('is not sent to a second node once parts of it are gone', async () => {
		const caller = new SendingCaller(fixture, createBody(200_000), [10_000], true);
		caller.send();
		const [attempt] = fixture.getAttempts('near');
		attempt!.accept();
		attempt!.readBody();
		caller.send();
		attempt!.refuse(createFailure('queueDeadline', 'no slot was free'));
		await clock.tickAsync(1);
		expect(fixture.getAttempts('far').length).to.equal(0);
		expect(fixture.failure).to.include({name: 'queueDeadline', ran: 'not-run'});
	});

	describe('of any size, in any parts, with refusals and late acceptances in between', () => {
		it('reaches each attempt as a prefix of what was sent, and whole where the request is run', async function () {
			this.timeout(60_000);
			const step = fc.constantFrom('accept', 'consume', 'refuse', 'send', 'wait');
			const upload = fc.record({
				bytes: fc.oneof(fc.integer({min: 1, max: 300_000}), fc.integer({min: exchangeWindowBytes - 2, max: exchangeWindowBytes + 2})),
				partSizes: fc.array(fc.oneof(fc.integer({min: 1000, max: 70_000}), fc.constant(16_384)), {minLength: 1, maxLength: 4}),
				isLengthKnown: fc.boolean(),
				steps: fc.array(step, {maxLength: 12}),
			});
			await fc.assert(fc.asyncProperty(upload, async ({bytes, partSizes, isLengthKnown, steps}) => {
				fixture = new RouterFixture();
				const body = createBody(bytes);
				const caller = new SendingCaller(fixture, body, partSizes, isLengthKnown);
				caller.send();
				await steps.reduce(async (before, kind) => {
					await before;
					const current = fixture.listOpenAttempts().at(-1);
					if (kind === 'accept') {
						current?.accept();
					} else if (kind === 'consume' && current?.isAccepted) {
						current.readBody();
					} else if (kind === 'refuse' && !current?.isEnded) {
						current?.refuse(createFailure('queueFull', 'no room'));
					} else if (kind === 'send') {
						caller.send();
					}

					await clock.tickAsync(kind === 'wait' ? 200 : 1);
					expect(caller.getCredit()).to.be.at.most(exchangeWindowBytes);
				}, Promise.resolve());
				// Pauses end, and whichever attempt is open then is accepted.
				await clock.tickAsync(1000);
				fixture.listOpenAttempts().at(-1)?.accept();
				runUntilAnswered(caller);
				fixture.listAttempts().forEach(attempt => {
					expect(isSame(attempt.getBody(), body.subarray(0, attempt.getBody().length))).to.equal(true);
					expect(!attempt.isEnded || attempt.getBody().length === bytes).to.equal(true);
				});
				await clock.tickAsync(remainingMs);
				expect(fixture.outcomes.length).to.be.at.least(1);
			}), {numRuns: 300, seed});
		});
	});
});
