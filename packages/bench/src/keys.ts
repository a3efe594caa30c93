/** Memory and processor time of a home by the number of keys it keeps. */
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {Right} from 'purify-ts';
import {
	Carrier, Exchange, type ExchangeHandler, type RequestHead,
} from '@limpetbarrow/core';
import {
	maxKeptBytes, maxKeptBytesPerTerms, maxKeys, maxKeysPerTerms, PauseDetector, Sequencer, SteadyClock,
} from '@limpetbarrow/sequencer';

const sizes = [1000, 10_000, 20_000, maxKeys] as const;
const answerBytes = 256;
const termsCount = 37;
const lifetimeMs = 600_000;
const mebibyte = 1_048_576;
/** Memory a node may spend for control, in bytes. */
const maxControlBytes = 32 * mebibyte;
const usPerMs = 1000;

class NoExchange extends Exchange {
	override writeBody(): void {
		// Nothing is sent.
	}

	override endBody(): void {
		// Nothing is sent.
	}

	override grantCredit(): void {
		// The answer is small.
	}

	override cancel(): void {
		// Answered already.
	}
}

class AnsweringCarrier extends Carrier {
	override openExchange(_head: RequestHead, handler: ExchangeHandler): Exchange {
		queueMicrotask(() => {
			handler.handleHead({status: 200, headers: ['content-type', 'application/json']});
			handler.handleData(new Uint8Array(answerBytes));
			handler.handleEnd();
		});
		return new NoExchange();
	}
}

function createSequencer(): Sequencer {
	const clock = new SteadyClock();
	return new Sequencer({
		next: new AnsweringCarrier(),
		readKey({idempotencyKey = ''}) {
			const [termsId = '', part = ''] = idempotencyKey.split(':');
			return Right({
				termsId, part, attempt: 1, expiresAt: clock.getNow() + lifetimeMs,
			});
		},
		clock,
		pauses: new PauseDetector(),
		bounds: {
			maxKeys, maxKeysPerTerms, maxKeptBytes, maxKeptBytesPerTerms,
		},
		isStopping: () => false,
	});
}

function readHeap(): number {
	setFlagsFromString('--expose-gc');
	(runInNewContext('gc') as () => void)();
	const {heapUsed, arrayBuffers} = process.memoryUsage();
	return heapUsed + arrayBuffers;
}

const ignore: ExchangeHandler = {
	handleHead: () => undefined,
	handleData: () => undefined,
	handleEnd: () => undefined,
	handleFailure: () => undefined,
	handleCredit: () => undefined,
};

async function sendKeys(sequencer: Sequencer, count: number): Promise<void> {
	const batches = Array.from({length: Math.ceil(count / 50)}, (_, batch) => batch * 50);
	await batches.reduce(async (before, from) => {
		await before;
		Array.from({length: Math.min(50, count - from)}, (_, offset) => from + offset).forEach(index => {
			const head: RequestHead = {
				requestId: '',
				target: {kind: 'sequencer'},
				service: 'fitting-desk',
				method: 'POST',
				path: `/orders/${index}`,
				headers: [],
				remainingMs: 1000,
				isRepeatable: false,
				idempotencyKey: `terms-${index % termsCount}:part-${index}`,
				organisation: 'pointe',
			};
			sequencer.openExchange(head, ignore).endBody();
		});
		await Promise.resolve();
	}, Promise.resolve());
}

/** Fails when a full home takes more memory than a node has for control. */
export async function measureKeys(): Promise<number> {
	process.stdout.write(`answers of ${answerBytes} bytes\n| keys | kept | bytes counted | heap MiB | heap bytes a key | µs a key | sweep ms |\n| --- | --- | --- | --- | --- | --- | --- |\n`);
	const heaps = await sizes.reduce<Promise<readonly number[]>>(async (before, count) => {
		const done = await before;
		const sequencer = createSequencer();
		const heapBefore = readHeap();
		const startedAt = performance.now();
		await sendKeys(sequencer, count);
		const spentMs = performance.now() - startedAt;
		const heap = readHeap() - heapBefore;
		const sweepAt = performance.now();
		sequencer.sweep();
		const sweepMs = performance.now() - sweepAt;
		const kept = sequencer.countKeys();
		process.stdout.write(`| ${count} | ${kept} | ${sequencer.countBytes()} | ${(heap / mebibyte).toFixed(1)} | ${Math.round(heap / kept)} | ${(spentMs * usPerMs / count).toFixed(1)} | ${sweepMs.toFixed(2)} |\n`);
		return [...done, heap];
	}, Promise.resolve([]));
	return Math.max(...heaps) <= maxControlBytes ? 0 : 1;
}
