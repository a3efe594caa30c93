import {expect} from 'chai';
import {
	formatAnswerBody, PromiseChecker, type ReceivedAnswer, type ServerRun,
} from '../../index.js';

const drainMs = 1000;
const run: ServerRun = {
	id: 'one', serverId: 'i-1', service: 'desk', method: 'POST', path: '/order/x', body: 'pair', callerService: 'desk', expectedServer: 'i-1', at: 100,
};
const answer: ReceivedAnswer = {
	id: 'one', status: 200, body: formatAnswerBody('one'), isSigned: true, detail: '',
};

describe('promise checker', () => {
	let checker: PromiseChecker;

	beforeEach(() => {
		checker = new PromiseChecker(drainMs);
		checker.recordSent({
			id: 'one', method: 'POST', path: '/order/x', body: 'pair', isRepeatable: false, callerService: 'desk', allowedServices: ['desk'],
		});
	});

	const listPromises = (): readonly string[] => checker.listViolations().map(({promise}) => promise);

	it('finds nothing in a request that ran once and was answered whole', () => {
		checker.recordRun(run);
		checker.recordAnswer(answer);
		expect(checker.listViolations()).to.deep.equal([]);
		expect(checker.computeCounts()).to.include({sent: 1, whole: 1, unknown: 0});
	});

	describe('finds', () => {
		it('a second run', () => {
			checker.recordRun(run);
			checker.recordRun({...run, serverId: 'i-2', expectedServer: 'i-2'});
			expect(listPromises()).to.deep.equal(['what may not be repeated runs at most once']);
			expect(checker.computeCounts().runTwice).to.equal(1);
		});

		it('a run after a refusal and one before it', () => {
			checker.recordAnswer({...answer, status: 503, body: ''});
			checker.recordRun(run);
			expect(listPromises()).to.deep.equal(['what was refused as not run never runs']);
			expect(checker.computeCounts().refusedButRun).to.equal(1);
		});

		const changes: ReadonlyArray<readonly [string, Partial<ServerRun>, string]> = [
			['a request that nobody sent', {id: 'two'}, 'nothing runs that nobody sent'],
			['another body', {body: 'pairs'}, 'a request runs as it was sent'],
			['another caller', {callerService: 'catalogue'}, 'a request runs as it was sent'],
			['another backend server than the one meant', {expectedServer: 'i-2'}, 'each send names the backend server that is meant'],
			['a service that no configuration allows', {service: 'catalogue'}, 'a request runs where a configuration lets it'],
		];
		changes.forEach(([what, change, promise]) => {
			it(what, () => {
				checker.recordRun({...run, ...change});
				expect(listPromises()).to.deep.equal([promise]);
			});
		});

		it('new work at a backend server that has left', () => {
			checker.recordLeaving('i-1', 100);
			checker.recordRun({...run, at: 100 + drainMs});
			expect(listPromises()).to.deep.equal([]);
			checker.recordSent({
				id: 'two', method: 'GET', path: '/read/x', body: '', isRepeatable: true, callerService: 'desk', allowedServices: ['desk'],
			});
			checker.recordRun({
				...run, id: 'two', method: 'GET', path: '/read/x', body: '', at: 101 + drainMs,
			});
			expect(listPromises()).to.deep.equal(['a backend server that leaves gets no new work']);
		});

		const answers: ReadonlyArray<readonly [string, Partial<ReceivedAnswer>, string]> = [
			['a success without a signature', {isSigned: false}, 'a success bears the backend server\'s signature'],
			['half an answer', {body: answer.body.slice(0, 30)}, 'a success is the whole answer to the own request'],
			['the answer to another request', {body: formatAnswerBody('two')}, 'a success is the whole answer to the own request'],
		];
		answers.forEach(([what, change, promise]) => {
			it(what, () => {
				checker.recordAnswer({...answer, ...change});
				expect(listPromises()).to.deep.equal([promise]);
			});
		});
	});
});
