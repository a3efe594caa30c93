/**
 * Guards against taking healthy backend servers out of use because a service that they call fails: each request whose call
 * failed was answered with a server error, and each of these counted against the server that gave the answer.
 */
import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {AdmissionController} from '@limpetbarrow/admission';
import {type RequestHead} from '@limpetbarrow/core';
import {ServerOutcomes} from '../../backend/server-outcomes.js';

const requestCount = 200;
const callFailureInterval = 6;
const workMs = 900;

function createHead(requestId: string): RequestHead {
	return {
		requestId, target: {kind: 'egress', serverId: 'server-1'}, service: 'quotes', method: 'GET', path: '/', headers: [], remainingMs: 8000, isRepeatable: true, organisation: '',
	};
}

describe('a backend server of a service that calls a failing one', () => {
	let clock: Clock;
	let gate: AdmissionController;
	let outcomes: ServerOutcomes;
	let changes: readonly boolean[];

	beforeEach(() => {
		clock = install();
		gate = new AdmissionController(0);
		changes = [];
		outcomes = new ServerOutcomes(gate, {
			reportHealth(isUnwell) {
				changes = [...changes, isUnwell];
			},
			reportShedding() {
				// Nothing is shed in these tests.
			},
		});
	});

	afterEach(() => {
		clock.uninstall();
	});

	/** Runs a request with one call, and answers it with a server error if the call fails. */
	function run(id: string, isCallServed: boolean, isOwnFailure = false): void {
		const head = createHead(id);
		outcomes.calls.recordStart(id);
		clock.tick(workMs);
		outcomes.calls.recordEnd(id, isCallServed);
		const kind = isCallServed && !isOwnFailure ? 'answered' : 'failed';
		outcomes.recordEnd(head, {at: performance.now(), kind, durationMs: workMs}, undefined);
	}

	it('stays in use while one in six of its calls fails', () => {
		Array.from({length: requestCount}, (_, index) => index).forEach(index => {
			run(`r-${index}`, index % callFailureInterval !== 0);
		});
		expect(changes).to.deep.equal([]);
	});

	it('is taken out of use when it fails by itself', () => {
		run('r-1', true);
		run('r-2', true, true);
		run('r-3', true, true);
		expect(changes).to.deep.equal([true]);
	});

	it('is not taken for stalled while it waits for a call', () => {
		const head = createHead('r-1');
		outcomes.calls.recordStart('r-1');
		clock.tick(workMs * 5);
		outcomes.recordOverdue(head);
		outcomes.recordOverdue(head);
		expect(changes).to.deep.equal([]);
		outcomes.calls.recordEnd('r-1', true);
		outcomes.recordOverdue(head);
		outcomes.recordOverdue(head);
		expect(changes).to.deep.equal([true]);
	});
});
