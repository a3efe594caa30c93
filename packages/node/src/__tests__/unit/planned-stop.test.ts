import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {
	drainNode, finalResponsesMs, handoverPropagationMs, StoppingNode,
} from '../../planned-stop.js';

const times = {lameDuckMs: 6000, stopTimeoutMs: 30_000};

class FakeNode extends StoppingNode {
	servers = 1;
	connections = 1;
	inProgress = 1;
	delivering = 0;
	/** Requests whose failure can't be written, as their callers don't read. */
	unfinished = 0;
	readonly steps: string[] = [];

	override startStopping(): void {
		this.steps.push('startStopping');
	}

	override countServers(): number {
		return this.servers;
	}

	override stopTakingWork(): void {
		this.steps.push('stopTakingWork');
	}

	override countConnections(): number {
		return this.connections;
	}

	override stopListening(): void {
		this.steps.push('stopListening');
	}

	override countRequestsInProgress(): number {
		return this.inProgress;
	}

	override countDelivering(): number {
		return this.delivering;
	}

	override failRequests(): void {
		this.steps.push('failRequests');
		this.inProgress = this.unfinished;
	}
}

describe('a planned stop', () => {
	let clock: Clock;
	let node: FakeNode;
	let result: boolean | undefined;

	beforeEach(() => {
		clock = install();
		node = new FakeNode();
		result = undefined;
		void runStop();
	});

	afterEach(() => {
		clock.uninstall();
	});

	async function runStop(): Promise<void> {
		result = await drainNode(node, times);
	}

	it('announces the stop at once and continues to listen', () => {
		expect(node.steps).to.deep.equal(['startStopping']);
	});

	it('listens until its backend servers have moved to other nodes and these have learnt it', async () => {
		node.connections = 0;
		await clock.tickAsync(20_000);
		expect(node.steps).to.deep.equal(['startStopping']);
		node.servers = 0;
		await clock.tickAsync(handoverPropagationMs + 100);
		expect(node.steps).to.deep.equal(['startStopping', 'stopTakingWork', 'stopListening']);
	});

	it('takes work from other nodes until they have learnt of the stop, and none after that', async () => {
		node.servers = 0;
		await clock.tickAsync(handoverPropagationMs - 100);
		expect(node.steps).to.deep.equal(['startStopping']);
		await clock.tickAsync(200);
		expect(node.steps).to.deep.equal(['startStopping', 'stopTakingWork']);
	});

	it('listens while callers have open connections, up to the lame-duck time', async () => {
		node.servers = 0;
		await clock.tickAsync(times.lameDuckMs - 100);
		expect(node.steps).to.deep.equal(['startStopping', 'stopTakingWork']);
		await clock.tickAsync(200);
		expect(node.steps).to.deep.equal(['startStopping', 'stopTakingWork', 'stopListening']);
	});

	it('ends only once no request is in progress', async () => {
		node.servers = 0;
		node.connections = 0;
		await clock.tickAsync(20_000);
		expect(result).to.equal(undefined);
		node.inProgress = 0;
		await clock.tickAsync(100);
		expect(result).to.equal(true);
	});

	it('fails the requests that are left before its time limit, so that their callers get a response', async () => {
		node.servers = 0;
		node.connections = 0;
		await clock.tickAsync(times.stopTimeoutMs - finalResponsesMs - 100);
		expect(node.steps).to.deep.equal(['startStopping', 'stopTakingWork', 'stopListening']);
		await clock.tickAsync(200);
		expect(node.steps).to.deep.equal(['startStopping', 'stopTakingWork', 'stopListening', 'failRequests']);
		expect(result).to.equal(false);
	});

	it('waits until its time limit for callers that read the last responses slowly', async () => {
		node.unfinished = 1;
		await clock.tickAsync(times.stopTimeoutMs - 100);
		expect(result).to.equal(undefined);
		await clock.tickAsync(200);
		expect(result).to.equal(false);
	});

	// Guards against ready responses that are lost as the process was held up until its time limit.
	it('waits for the last responses for some time though it was held up until its time limit', async () => {
		node.unfinished = 1;
		await clock.tickAsync(times.stopTimeoutMs - finalResponsesMs - 100);
		clock.jump(finalResponsesMs + 500);
		await clock.tickAsync(40);
		expect(node.steps).to.include('failRequests');
		expect(result).to.equal(undefined);
		node.inProgress = 0;
		await clock.tickAsync(40);
		expect(result).to.equal(false);
	});

	// Guards against a process that ends while its kernel still holds responses, which it drops if their callers send more.
	it('waits for callers that may still be reading the last responses', async () => {
		node.servers = 0;
		node.connections = 0;
		node.inProgress = 0;
		node.delivering = 1;
		await clock.tickAsync(times.stopTimeoutMs - 100);
		expect(result).to.equal(undefined);
		node.delivering = 0;
		await clock.tickAsync(40);
		expect(result).to.equal(true);
	});

	it('ends at its time limit and reports that requests were in progress', async () => {
		await clock.tickAsync(times.stopTimeoutMs + 200);
		expect(result).to.equal(false);
	});
});
