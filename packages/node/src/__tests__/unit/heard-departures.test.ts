import {setTimeout as wait} from 'node:timers/promises';
import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {createFailure} from '@limpetbarrow/core';
import {HeardDepartures} from '../../routing/heard-departures.js';
import {startHostEgressFixture} from '../host-egress-fixture.js';
import {formatRawResponse, testServerHeaders} from '../raw-backend.js';
import {RouterFixture} from '../router-fixture.js';

const leavingHeaders = [testServerHeaders.leaving, '1'];

// Guards against requests to a backend server long after this node passed on a response that says it leaves.
describe('a backend server that says in a response that it leaves', () => {
	describe('at the node that passed the response on', () => {
		let clock: Clock;
		let fixture: RouterFixture;

		beforeEach(() => {
			clock = install();
			fixture = new RouterFixture();
		});

		afterEach(() => {
			clock.uninstall();
		});

		/** Sends a request and answers it at the nearest backend server that gets it. Returns that server. */
		async function sendRequest(headers: readonly string[] = []): Promise<string> {
			const before = ['near', 'far'].map(id => fixture.getAttempts(id).length);
			fixture.openRequest();
			const id = ['near', 'far'].find((server, index) => fixture.getAttempts(server).length > before[index]!);
			const attempt = id === undefined ? undefined : fixture.getAttempts(id).at(-1);
			attempt?.accept();
			attempt?.answer(200, headers);
			await clock.tickAsync(1);
			return id ?? 'none';
		}

		function setGeneration(id: string, generation: number): void {
			fixture.candidates = fixture.candidates.map(candidate => candidate.server.id === id ? {...candidate, server: {...candidate.server, generation}} : candidate);
		}

		it('gets no more requests, though all records list it as ready', async () => {
			expect(await sendRequest()).to.equal('near');
			expect(await sendRequest(leavingHeaders)).to.equal('near');
			expect(await sendRequest()).to.equal('far');
			await clock.tickAsync(3_600_000);
			expect(await sendRequest()).to.equal('far');
		});

		it('gets none of a request that waited meanwhile', async () => {
			const egresses = ['near', 'far'].map(id => fixture.egresses.get(`node-${id}`)!);
			egresses.forEach(egress => {
				egress.refusal = createFailure('serverUnwell', 'failing');
			});
			fixture.openRequest();
			await clock.tickAsync(1);
			const asked = fixture.getAttempts('near').length;
			egresses.forEach(egress => {
				egress.refusal = undefined;
			});
			expect(await sendRequest(leavingHeaders)).to.equal('near');
			await clock.tickAsync(2000);
			expect(fixture.getAttempts('near').length).to.equal(asked + 1);
			expect(fixture.getAttempts('far').length).to.be.above(1);
		});

		it('gets no second copy of a request that hangs elsewhere', async () => {
			expect(await sendRequest(leavingHeaders)).to.equal('near');
			fixture.openRequest();
			fixture.getAttempts('far').at(-1)!.accept();
			await clock.tickAsync(1500);
			expect(fixture.getAttempts('near').length).to.equal(1);
		});

		it('gets requests again after a new start of its, and none by an older record', async () => {
			await sendRequest(leavingHeaders);
			setGeneration('near', 2);
			expect(await sendRequest()).to.equal('near');
			await sendRequest(leavingHeaders);
			setGeneration('near', 1);
			expect(await sendRequest()).to.equal('far');
			setGeneration('near', 2);
			expect(await sendRequest()).to.equal('far');
		});

		it('leaves the servers of other ids alone', async () => {
			await sendRequest(leavingHeaders);
			expect(await sendRequest(leavingHeaders)).to.equal('far');
			expect(await sendRequest()).to.equal('none');
			fixture.candidates = fixture.candidates.map(candidate => ({...candidate, server: {...candidate.server, id: `${candidate.server.id}-next`}}));
			expect(await sendRequest()).to.equal('near');
		});

		it('is not taken to leave by another value of the header', async () => {
			await sendRequest([testServerHeaders.leaving, '0']);
			expect(await sendRequest()).to.equal('near');
		});
	});

	describe('at the egress beside it', () => {
		[
			{what: 'a success', status: 200, headers: []},
			{what: 'a server error', status: 500, headers: []},
			{what: 'a rejection', status: 503, headers: ['x-not-run: 1']},
		].forEach(({what, status, headers}) => {
			it(`is published as leaving, and gets neither new nor waiting requests, after ${what}`, async () => {
				const {send, egress, backend, announcements, close} = await startHostEgressFixture((socket, text) => {
					setTimeout(() => {
						socket.write(formatRawResponse(text, {status, headers: [...headers, 'x-leaving: 1']}));
					}, 20);
				});
				const outcomes = await Promise.all(Array.from({length: 5}, async (_, index) => send({requestId: `r-${index}`})));
				expect(outcomes.filter(({outcome}) => outcome === 'serverLeaving').length).to.equal(2);
				expect(egress.listServers().map(({state}) => state)).to.deep.equal(['leaving']);
				expect(await send({requestId: 'r-9'})).to.include({outcome: 'serverLeaving'});
				expect(backend.requests.length).to.equal(3);
				expect(announcements.store.getState().left.get('server-1')).to.equal(1);
				await close();
			});
		});

		it('stays so when an announcement of the same run arrives late, and is in use again after its next start', async () => {
			let isLeaving = true;
			const {send, announce, close} = await startHostEgressFixture((socket, text) => {
				socket.write(formatRawResponse(text, {headers: isLeaving ? ['x-leaving: 1'] : []}));
			});
			await send();
			announce();
			expect(await send({requestId: 'r-2'})).to.include({outcome: 'serverLeaving'});
			isLeaving = false;
			announce({generation: 2});
			expect(await send({requestId: 'r-3'})).to.include({outcome: '200'});
			await close();
		});

		it('is not taken to leave by a late response of an earlier request', async () => {
			let first = '';
			const {send, close} = await startHostEgressFixture((socket, text) => {
				socket.write(first === '' ? formatRawResponse(text) : formatRawResponse(first, {headers: ['x-leaving: 1']}));
				first = text;
			});
			await send({requestId: 'r-1'});
			await wait(20);
			expect(await send({requestId: 'r-2'})).to.include({outcome: 'serverBroke'});
			expect(await send({requestId: 'r-3'})).not.to.include({outcome: 'serverLeaving'});
			await close();
		});
	});

	it('is forgotten only when thousands of others have left since', () => {
		const departures = new HeardDepartures();
		const runs = Array.from({length: 5000}, (_, index) => ({id: `server-${index}`, generation: 1}));
		runs.forEach(run => {
			departures.recordDeparture(run);
		});
		expect(runs.filter(run => departures.hasLeft(run)).length).to.equal(4096);
		expect(departures.hasLeft(runs.at(-1)!)).to.equal(true);
	});
});
