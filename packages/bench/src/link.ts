/** Benchmark `link`: bytes and processor time of one request on a link, by codec setting and for the link as a whole. */
import process from 'node:process';
import {Buffer} from 'node:buffer';
import {Encoder, isNativeAccelerationEnabled} from 'cbor-x';
import {
	Carrier, createRandomId, Exchange, SilentLogger, type ExchangeHandler, type RequestHead, type ResponseHead,
} from '@limpetbarrow/core';
import {
	encodePacketHeader, FrameDecoder, LinkPool, LinkServer, type ExchangeFrame,
} from '@limpetbarrow/link';
import {TcpRelay} from '@limpetbarrow/stand-ins';

type CodecSetting = {
	readonly name: string;
	/** Encodes and decodes the frames of one exchange and returns their bytes. */
	readonly runExchange: (frames: readonly ExchangeFrame[]) => number;
};

const codecRounds = 7;
const exchangesPerRound = 5000;
const linkExchanges = 20_000;
const linkWarmUp = 3000;
const relayExchanges = 1000;
const concurrency = 32;
const usPerMs = 1000;
/** Time added to a request for 99 in 100, from the letter, in microseconds. */
const addedTimeTargetUs = 2700;
const requestBody = Buffer.alloc(300, 'r');
const answerBody = Buffer.alloc(1000, 'a');
const emptyBytes = new Uint8Array(0);

const requestHeaders = Object.entries({
	host: 'shop.pointe.example',
	'user-agent': 'shop-tablet/3.1',
	accept: 'application/json',
	'accept-encoding': 'gzip',
	'content-type': 'application/json',
	'content-length': '300',
	'idempotency-key': 'k1.AbCdEfGhIjKl.0001',
	'x-request-tag': 'o-123456',
}).flat();
const responseHead: ResponseHead = {
	status: 200,
	headers: ['content-type', 'application/json', 'content-length', '1000', 'date', 'Fri, 04 Dec 2026 05:00:00 GMT', 'x-server', 'two-fitting-desk'],
	load: {serverId: 'two-fitting-desk', freeSlots: 2, queued: 0},
};

function createHead(): RequestHead {
	return {
		requestId: createRandomId(),
		target: {kind: 'egress', serverId: 'two-fitting-desk'},
		service: 'fitting-desk',
		method: 'POST',
		path: '/fittings/123456/orders?size=34',
		headers: requestHeaders,
		remainingMs: 9987.25,
		isRepeatable: false,
		organisation: 'pointe-atelier',
	};
}

function createFrames(stream: number): readonly ExchangeFrame[] {
	return [
		{kind: 'request', stream, head: createHead()},
		{kind: 'data', stream},
		{kind: 'end', stream},
		{kind: 'credit', stream, bytes: requestBody.length},
		{kind: 'response', stream, head: responseHead},
		{kind: 'data', stream},
		{kind: 'credit', stream, bytes: answerBody.length},
		{kind: 'end', stream},
	];
}

function createEncoderSetting(name: string, encoder: Encoder, decoder: Encoder): CodecSetting {
	let sequence = 0;
	return {
		name,
		runExchange: frames => frames.reduce((sum, frame) => {
			sequence++;
			const bytes = encoder.encode({...frame, sequence, acknowledged: sequence});
			decoder.decode(bytes);
			return sum + bytes.length + 6;
		}, 0),
	};
}

function createArraySetting(): CodecSetting {
	const decoder = new FrameDecoder();
	let sequence = 0;
	return {
		name: 'arrays with guards (in use)',
		runExchange: frames => frames.reduce((sum, frame) => {
			sequence++;
			const bytes = encodePacketHeader({
				frame, sequence, acknowledged: sequence, payload: emptyBytes,
			});
			decoder.decode(bytes);
			return sum + bytes.length;
		}, 0),
	};
}

function computeMedian(values: readonly number[]): number {
	return values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)]!;
}

function measureCpuUs(run: () => void): number {
	const before = process.cpuUsage();
	run();
	const {user, system} = process.cpuUsage(before);
	return user + system;
}

/** Rounds of all settings take turns, so that what else the machine does falls on all alike. */
function measureCodecs(): void {
	const plain = {useRecords: false, mapsAsObjects: true, tagUint8Array: false};
	const settings = [
		createEncoderSetting('plain maps, unchecked', new Encoder(plain), new Encoder(plain)),
		createEncoderSetting('records, unchecked', new Encoder({structures: [], tagUint8Array: false}), new Encoder({structures: [], tagUint8Array: false})),
		createArraySetting(),
	];
	const rounds = Array.from({length: codecRounds}, (_, round) => settings.map(({runExchange}) => {
		let bytes = 0;
		const us = measureCpuUs(() => {
			Array.from({length: exchangesPerRound}, (_unused, index) => {
				bytes += runExchange(createFrames((round * exchangesPerRound) + index + 1));
				return undefined;
			});
		});
		return {us: us / exchangesPerRound, bytes: bytes / exchangesPerRound};
	}));
	process.stdout.write(`cbor-x ${isNativeAccelerationEnabled ? 'with its native part' : 'in plain JavaScript'}\n`);
	settings.forEach(({name}, index) => {
		const us = rounds.map(round => round[index]!.us);
		const range = `${computeMedian(us).toFixed(1)} us (${Math.min(...us).toFixed(1)} to ${Math.max(...us).toFixed(1)})`;
		process.stdout.write(`${name}: ${range}, ${rounds.at(-1)![index]!.bytes.toFixed(0)} bytes of headers per exchange\n`);
	});
}

class AnsweringExchange extends Exchange {
	readonly #handler: ExchangeHandler;

	constructor(handler: ExchangeHandler) {
		super();
		this.#handler = handler;
	}

	override writeBody(chunk: Uint8Array): void {
		this.#handler.handleCredit(chunk.length);
	}

	override endBody(): void {
		this.#handler.handleHead(responseHead);
		this.#handler.handleData(answerBody);
		this.#handler.handleEnd();
	}

	override grantCredit(_bytes: number): void {
		// The answer fits the first window.
	}

	override cancel(): void {
		// Not cancelled here.
	}
}

class AnsweringCarrier extends Carrier {
	override openExchange(_head: RequestHead, handler: ExchangeHandler): Exchange {
		return new AnsweringExchange(handler);
	}
}

async function sendRequest(link: Carrier): Promise<void> {
	await new Promise<void>((resolve, reject) => {
		const exchange: Exchange = link.openExchange(createHead(), {
			handleHead() {
				// Not needed here.
			},
			handleData(chunk) {
				exchange.grantCredit(chunk.length);
			},
			handleEnd: resolve,
			handleFailure(failure) {
				reject(new Error(failure.detail));
			},
			handleCredit() {
				// The body fits the first window.
			},
		});
		exchange.writeBody(requestBody);
		exchange.endBody();
	});
}

async function sendRequests(link: Carrier, count: number): Promise<readonly number[]> {
	const latencies: number[] = [];
	let left = count;
	const runWorker = async (): Promise<void> => {
		if (left-- <= 0) {
			return;
		}

		const startedAt = performance.now();
		await sendRequest(link);
		latencies.push((performance.now() - startedAt) * usPerMs);
		await runWorker();
	};

	await Promise.all(Array.from({length: Math.min(concurrency, count)}, async () => runWorker()));
	return latencies.toSorted((a, b) => a - b);
}

/** Both ends of the link run in this process. */
async function measureExchanges(): Promise<number> {
	const identity = {id: 'two', incarnation: 1};
	const server = new LinkServer(identity, () => new AnsweringCarrier(), new SilentLogger());
	const address = await server.listen({host: '127.0.0.1', port: 0});
	const pool = new LinkPool({id: 'one', incarnation: 1});
	const link = pool.getLink({identity, address});
	await sendRequests(link, linkWarmUp);
	const before = process.cpuUsage();
	const latencies = await sendRequests(link, linkExchanges);
	const {user, system} = process.cpuUsage(before);
	const cpuUs = (user + system) / linkExchanges;
	const p99 = latencies[Math.floor(latencies.length * 0.99)]!;
	process.stdout.write(`link: ${cpuUs.toFixed(1)} us of processor time per exchange, both ends; 99 in 100 within ${p99.toFixed(0)} us at ${concurrency} at once\n`);

	const relay = new TcpRelay(address);
	const relayed = pool.getLink({identity, address: await relay.listen()});
	let bytes = 0;
	relay.chunks.registerListener(chunk => {
		bytes += chunk.bytes;
	});
	await sendRequests(relayed, relayExchanges);
	process.stdout.write(`link: ${(bytes / relayExchanges).toFixed(0)} bytes per exchange of ${requestBody.length + answerBody.length} bytes of bodies, both ways\n`);
	pool.close();
	await relay.close();
	await server.close();
	return cpuUs;
}

/** Runs the benchmark; fails when the link's processor time alone would use up the time a request may take longer. */
export async function measureLink(): Promise<number> {
	measureCodecs();
	const cpuUs = await measureExchanges();
	return cpuUs < addedTimeTargetUs ? 0 : 1;
}
