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

describe('server gate', () => {
	describe('before a backend server that fails while its health check passes', () => {
		it('takes anything before it has seen any outcome', () => {
			expect(createGate([]).findRefusal(order, idle, 0)).to.equal(undefined);
			expect(createGate([]).findRefusal(order, idle, 100_000)).to.equal(undefined);
		});

		it('takes anything while all is well', () => {
			const gate = createGate(['well', 'well', 'well']);
			expect(gate.findRefusal(order, idle, 100)).to.equal(undefined);
		});

		it('refuses what may not be repeated after one failure', () => {
			const gate = createGate(['well', 'well', 'failed']);
			expect(gate.findRefusal(order, idle, 100)?.name).to.equal('serverUnwell');
			expect(gate.findRefusal(order, idle, 100)?.ran).to.equal('not-run');
		});

		it('takes one trial at a time, less often with each failure, up to a bound', () => {
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

		it('takes no trial while one runs', () => {
			const gate = createGate(['failed', 'failed']);
			expect(gate.findRefusal(read, createBusy(1, 100), 200)?.name).to.equal('serverUnwell');
		});

		it('is back in full use after a few good answers', () => {
			const gate = createGate(['failed', 'failed', 'failed', 'well', 'well', 'well', 'well', 'well', 'well']);
			expect(gate.isUnwell(100)).to.equal(false);
			expect(gate.findRefusal(order, idle, 100)).to.equal(undefined);
		});

		it('takes a last resort all the same: the floor may need it', () => {
			const gate = createGate(['failed', 'failed', 'failed']);
			expect(gate.findRefusal({...order, isLastResort: true}, idle, 100)).to.equal(undefined);
		});
	});

	describe('before a backend server that takes no connection', () => {
		it('refuses until one connection works', () => {
			const gate = createGate(['well', 'unreachable']);
			expect(gate.isUnwell(100)).to.equal(true);
			gate.recordOutcome('well', 200);
			gate.recordOutcome('well', 210);
			expect(gate.findRefusal(order, idle, 220)).to.equal(undefined);
		});
	});

	describe('before a backend server that rejects work without running it', () => {
		const createShedding = (): AdmissionController => createGate(['well', 'shed', 'shed', 'well', 'shed']);

		it('refuses nothing, as what is rejected has not run', () => {
			expect(createShedding().findRefusal(order, idle, 100)).to.equal(undefined);
			expect(createShedding().isUnwell(100)).to.equal(false);
		});

		it('says so, so that others are asked first, until some work was taken again', () => {
			const gate = createShedding();
			expect(gate.isShedding(100)).to.equal(true);
			Array.from({length: 12}, (_, index) => 110 + index).forEach(now => {
				gate.recordOutcome('well', now);
			});
			expect(gate.isShedding(170)).to.equal(false);
		});

		it('says nothing after a single rejection', () => {
			expect(createGate(['well', 'well', 'well', 'well', 'well', 'shed', 'well']).isShedding(100)).to.equal(false);
		});
	});

	describe('before a backend server that is slow', () => {
		it('sends trials only when its work alone takes the whole objective', () => {
			const gate = createGate(['well']);
			Array.from({length: 30}).forEach(() => {
				gate.recordRequestDuration('order', 2000);
			});
			expect(gate.findRefusal(order, idle, 100)?.name).to.equal('serverUnwell');
			expect(gate.findRefusal({...read, route: 'order'}, idle, 100)).to.equal(undefined);
		});

		it('expects more of its work while it is cold', () => {
			const gate = createGate([]);
			gate.recordRequestDuration('read', 100);
			gate.setCold(1000, 0);
			expect(gate.estimateRequestDuration('read', 500)).to.equal(200);
			expect(gate.estimateRequestDuration('read', 1500)).to.equal(100);
		});
	});

	describe('under overload', () => {
		it('refuses at once, with the wait, what would wait longer than the sender does', () => {
			const refusal = createGate(['well']).findRefusal({...read, patienceMs: 100}, createBusy(3, 300), 100);
			expect(refusal?.name).to.equal('queueDeadline');
			expect(refusal?.retryAfterMs).to.equal(300);
		});

		it('refuses a last resort as well when it would be late', () => {
			expect(createGate(['well']).findRefusal({...read, patienceMs: 0, isLastResort: true}, createBusy(3, 300), 100)?.name).to.equal('queueDeadline');
		});

		it('refuses what has no time left for the work', () => {
			expect(createGate(['well']).findRefusal({...read, remainingMs: 200}, createBusy(3, 100), 100)?.name).to.equal('queueDeadline');
		});

		it('bounds the queue', () => {
			expect(createGate(['well']).findRefusal(read, {...idle, waitingCount: 24}, 100)?.name).to.equal('queueFull');
		});
	});
});
