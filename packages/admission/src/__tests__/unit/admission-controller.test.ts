import {expect} from 'chai';
import {
	AdmissionController, type ServerLoad, type ServerOutcome, type AdmissionRequest,
} from '../../index.js';

const idle: ServerLoad = {
	slots: 3, running: [], ahead: [], waitingCount: 0,
};
const read: AdmissionRequest = {
	route: 'read', priority: 2, isRetryable: true, remainingMs: 4000, objectiveMs: 800, patienceMs: 500, isLastResort: false,
};
const order: AdmissionRequest = {...read, route: 'order', isRetryable: false};

function createGate(outcomes: readonly ServerOutcome[]): AdmissionController {
	const gate = new AdmissionController(0);
	outcomes.forEach((outcome, index) => {
		gate.recordOutcome(outcome, 10 * (index + 1));
	});
	return gate;
}

function createBusy(count: number, workMs: number): ServerLoad {
	return {...idle, running: Array.from({length: count}, () => ({startedAt: 100, workMs}))};
}

describe('admission controller', () => {
	describe('for a backend server that fails while its health check passes', () => {
		it('admits any request before the first outcome', () => {
			expect(createGate([]).findRefusal(order, idle, 0)).to.equal(undefined);
			expect(createGate([]).findRefusal(order, idle, 100_000)).to.equal(undefined);
		});

		it('admits any request while all succeed', () => {
			const gate = createGate(['well', 'well', 'well']);
			expect(gate.findRefusal(order, idle, 100)).to.equal(undefined);
		});

		it('refuses a request that cannot be retried after one failure', () => {
			const gate = createGate(['well', 'well', 'failed']);
			expect(gate.findRefusal(order, idle, 100)?.name).to.equal('serverUnwell');
			expect(gate.findRefusal(order, idle, 100)?.ran).to.equal('not-run');
		});

		it('admits one trial at a time, at intervals that grow with each failure up to a limit', () => {
			const gate = createGate(['failed', 'failed']);
			const taken: number[] = [];
			Array.from({length: 1200}, (_, index) => 100 + (index * 10)).forEach(now => {
				if (gate.findRefusal(read, idle, now) === undefined) {
					taken.push(now);
					gate.recordOutcome('failed', now + 5);
				}
			});
			const pauses = taken.slice(1).map((at, index) => at - taken[index]!);
			expect(pauses.slice(0, 3)).to.deep.equal([500, 1000, 1500]);
			expect(Math.max(...pauses)).to.equal(1500);
		});

		it('admits no trial while a request runs', () => {
			const gate = createGate(['failed', 'failed']);
			expect(gate.findRefusal(read, createBusy(1, 100), 200)?.name).to.equal('serverUnwell');
		});

		it('admits twice as many trials at once after each that succeeds, and one again after a failure', () => {
			const countTrials = (gate: AdmissionController, now: number): number => {
				const admit = (running: ServerLoad['running']): number => running.length < 7 && gate.findRefusal(read, {...idle, slots: 7, running}, now) === undefined
					? admit([...running, {startedAt: now, workMs: 600}])
					: running.length;
				return admit([]);
			};

			const gate = createGate(['failed', 'failed', 'failed', 'failed']);
			expect(countTrials(gate, 1000)).to.equal(1);
			gate.recordOutcome('well', 1200);
			expect(countTrials(gate, 1201)).to.equal(2);
			gate.recordOutcome('failed', 1400);
			expect(countTrials(gate, 3000)).to.equal(1);
		});

		it('admits a trial beside requests that run since before the failure', () => {
			const gate = createGate(['failed', 'failed']);
			const running = [{startedAt: 15, workMs: 600}];
			expect(gate.findRefusal(read, {...idle, running}, 200)).to.equal(undefined);
		});

		it('admits any request again after a few good answers', () => {
			const gate = createGate(['failed', 'failed', 'failed', 'well', 'well', 'well', 'well', 'well', 'well']);
			expect(gate.isUnwell(100)).to.equal(false);
			expect(gate.findRefusal(order, idle, 100)).to.equal(undefined);
		});

		it('admits a last resort nevertheless, as the floor may need the server', () => {
			const gate = createGate(['failed', 'failed', 'failed']);
			expect(gate.findRefusal({...order, isLastResort: true}, idle, 100)).to.equal(undefined);
		});
	});

	describe('for a backend server that accepts no connection', () => {
		it('reports it as unwell until a connection works again', () => {
			const gate = createGate(['well', 'unreachable']);
			expect(gate.isUnwell(100)).to.equal(true);
			gate.recordOutcome('well', 200);
			gate.recordOutcome('well', 210);
			expect(gate.findRefusal(order, idle, 220)).to.equal(undefined);
		});
	});

	describe('for a backend server that sheds load', () => {
		const createShedding = (): AdmissionController => createGate(['well', 'shed', 'shed', 'well', 'shed']);

		it('refuses nothing, as rejected requests have not run', () => {
			expect(createShedding().findRefusal(order, idle, 100)).to.equal(undefined);
			expect(createShedding().isUnwell(100)).to.equal(false);
		});

		it('reports shedding until some requests have been accepted again', () => {
			const gate = createShedding();
			expect(gate.isShedding(100)).to.equal(true);
			Array.from({length: 12}, (_, index) => 110 + index).forEach(now => {
				gate.recordOutcome('well', now);
			});
			expect(gate.isShedding(170)).to.equal(false);
		});

		it('does not report shedding after a single rejection', () => {
			expect(createGate(['well', 'well', 'well', 'well', 'well', 'shed', 'well']).isShedding(100)).to.equal(false);
		});
	});

	describe('for a slow backend server', () => {
		it('admits trials only when the expected duration takes up the whole objective', () => {
			const gate = createGate(['well']);
			Array.from({length: 30}).forEach(() => {
				gate.recordWork('order', 2000);
			});
			expect(gate.findRefusal(order, idle, 100)?.name).to.equal('serverUnwell');
			expect(gate.findRefusal({...read, route: 'order'}, idle, 100)).to.equal(undefined);
		});

		it('doubles the expected duration during a cold start', () => {
			const gate = createGate([]);
			gate.recordWork('read', 100);
			gate.setCold(1000, 0);
			expect(gate.estimateWork('read', 500)).to.equal(200);
			expect(gate.estimateWork('read', 1500)).to.equal(100);
		});
	});

	describe('under overload', () => {
		it('refuses a request at once, with the expected wait, when the sender does not accept that wait', () => {
			const refusal = createGate(['well']).findRefusal({...read, patienceMs: 100}, createBusy(3, 300), 100);
			expect(refusal?.name).to.equal('queueDeadline');
			expect(refusal?.retryAfterMs).to.equal(300);
		});

		it('says in a refusal how many requests go first, and whether the route has a record', () => {
			const gate = createGate(['well']);
			gate.recordWork('read', 80);
			const load = {...createBusy(3, 300), ahead: [], waitingCount: 2};
			expect(gate.findRefusal({...read, patienceMs: 100}, load, 100)?.detail).to.include('behind 0 of 2 queued and 3 running requests, expected duration 80 ms,');
			expect(gate.findRefusal({...read, route: 'other', patienceMs: 100}, load, 100)?.detail).to.include('ms (no record of the route),');
		});

		it('refuses a last resort as well when it would wait too long', () => {
			expect(createGate(['well']).findRefusal({...read, patienceMs: 0, isLastResort: true}, createBusy(3, 300), 100)?.name).to.equal('queueDeadline');
		});

		it('refuses a request whose remaining time is too short for the work', () => {
			expect(createGate(['well']).findRefusal({...read, remainingMs: 200}, createBusy(3, 100), 100)?.name).to.equal('queueDeadline');
		});

		it('refuses requests when the queue is full', () => {
			expect(createGate(['well']).findRefusal(read, {...idle, waitingCount: 24}, 100)?.name).to.equal('queueFull');
		});
	});
});
