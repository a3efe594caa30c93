import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {SilentLogger} from '@limpetbarrow/core';
import {announcementLeaseMs, announcementSweepMs, Announcements} from '../../index.js';

const host = '10.0.0.1';

function createAnnouncement(change: Readonly<Record<string, unknown>> = {}): unknown {
	return {
		id: 's', service: 'catalogue', address: `${host}:9000`, slots: 3, generation: 4, ...change,
	};
}

describe('announcements', () => {
	let clock: Clock;
	let announcements: Announcements;

	beforeEach(() => {
		clock = install({now: 1_700_000_000_000});
		announcements = new Announcements(new SilentLogger());
	});

	afterEach(() => {
		clock.uninstall();
	});

	function acceptAnnouncement(change: Readonly<Record<string, unknown>>, remoteHost = host): string {
		return announcements.accept(createAnnouncement(change), remoteHost).swap().map(({name}): string => name).orDefault('accepted');
	}

	function simulateSweeps(ms: number): void {
		Array.from({length: Math.ceil(ms / announcementSweepMs)}).forEach(() => {
			clock.tick(announcementSweepMs);
			announcements.sweep();
		});
	}

	const hasServer = (): boolean => announcements.store.getState().servers.has('s');

	describe('acceptance', () => {
		const rows: ReadonlyArray<readonly [string, Readonly<Record<string, unknown>>, string, string]> = [
			['a first announcement', {}, host, 'accepted'],
			['a renewal', {generation: 4}, host, 'accepted'],
			['a higher generation', {generation: 5}, host, 'accepted'],
			['a lower generation', {generation: 4}, host, 'announcementStale'],
			['another server at the address that started before', {id: 'late', generation: 3}, host, 'announcementStale'],
			['another server at the address that started later', {id: 'next', generation: 9}, host, 'accepted'],
			['another host', {generation: 6}, '10.0.0.2', 'announcementForeign'],
			['no slots', {slots: 0}, host, 'announcementInvalid'],
			['an address without port', {address: host}, host, 'announcementInvalid'],
			['a negative generation', {generation: -1}, host, 'announcementInvalid'],
		];
		it('gives the expected result for each kind of announcement', () => {
			expect(rows.map(([name, change, remoteHost]) => [name, acceptAnnouncement(change, remoteHost)])).to.deep.equal(rows.map(row => [row[0], row[3]]));
		});

		it('refuses input that is not an announcement', () => {
			const inputs = [undefined, null, 4, 'text', [], {}];
			expect(inputs.map(input => announcements.accept(input, host).isLeft())).to.not.include(false);
		});

		it('accepts at most 256 backend servers', () => {
			const names = Array.from({length: 300}, (_, index) => acceptAnnouncement({id: `s${index}`}));
			expect(names.filter(name => name === 'accepted')).to.have.length(256);
		});
	});

	describe('lease', () => {
		it('expires without renewal', () => {
			acceptAnnouncement({});
			simulateSweeps(announcementLeaseMs);
			expect(hasServer()).to.equal(true);
			simulateSweeps(2 * announcementSweepMs);
			expect(hasServer()).to.equal(false);
		});

		it('stays valid while it is renewed', () => {
			acceptAnnouncement({});
			simulateSweeps(4000);
			acceptAnnouncement({});
			simulateSweeps(4000);
			expect(hasServer()).to.equal(true);
		});

		it('is extended by one lease after a pause of the node, and then expires', () => {
			acceptAnnouncement({});
			clock.tick(60_000);
			announcements.sweep();
			expect(hasServer()).to.equal(true);
			simulateSweeps(announcementLeaseMs + announcementSweepMs);
			expect(hasServer()).to.equal(false);
		});
	});

	describe('leaving', () => {
		beforeEach(() => {
			acceptAnnouncement({});
			acceptAnnouncement({isLeaving: true});
		});

		it('is not undone by a delayed renewal', () => {
			expect(acceptAnnouncement({})).to.equal('announcementStale');
			expect(announcements.store.getState().servers.get('s')!.isLeaving).to.equal(true);
		});

		it('ends when the backend server returns under a higher generation', () => {
			expect(acceptAnnouncement({generation: 5})).to.equal('accepted');
			expect(announcements.store.getState().servers.get('s')!.isLeaving).to.equal(false);
		});
	});

	describe('a recorded leave', () => {
		it('outlives the announcement, so that a delayed heartbeat does not bring the backend server back', () => {
			acceptAnnouncement({isLeaving: true});
			simulateSweeps(announcementLeaseMs + (2 * announcementSweepMs));
			expect(hasServer()).to.equal(false);
			expect(acceptAnnouncement({})).to.equal('announcementStale');
		});

		const rows: ReadonlyArray<readonly [string, number | undefined, number, string]> = [
			['of the run that left', 4, 4, 'announcementStale'],
			['of an earlier run', 4, 3, 'announcementStale'],
			['of a later run', 4, 5, 'accepted'],
			['of a run that started before a leave without a generation', undefined, -1, 'announcementStale'],
			['of a run that started after a leave without a generation', undefined, 1, 'accepted'],
		];
		rows.forEach(([what, generation, announced, outcome]) => {
			it(`applies to an unknown backend server: a heartbeat ${what} gives ${outcome}`, () => {
				announcements.leave('s', generation);
				expect(acceptAnnouncement({generation: generation === undefined ? Date.now() + announced : announced})).to.equal(outcome);
			});
		});

		it('is restored from the previous process, even if a heartbeat arrived before', () => {
			acceptAnnouncement({});
			announcements.recordLeft(new Map([['s', 4], ['other', 9]]));
			expect(announcements.store.getState().servers.get('s')!.isLeaving).to.equal(true);
			expect(acceptAnnouncement({})).to.equal('announcementStale');
		});

		it('of an earlier run does not apply to a later run', () => {
			acceptAnnouncement({generation: 5});
			announcements.leave('s', 4);
			expect(announcements.store.getState().servers.get('s')!.isLeaving).to.equal(false);
		});

		it('is kept for the 32 backend servers that left last', () => {
			Array.from({length: 100}, (_, index) => announcements.leave(`s${index}`, 1));
			expect(announcements.store.getState().left.size).to.equal(32);
			expect(acceptAnnouncement({id: 's99', generation: 1})).to.equal('announcementStale');
		});
	});

	describe('a move to another node', () => {
		beforeEach(() => {
			acceptAnnouncement({});
		});

		it('removes the backend server if the generation there is higher', () => {
			announcements.removeMovedServers(new Map([['s', 5]]));
			expect(hasServer()).to.equal(false);
		});

		it('keeps the backend server if the generation there is not higher', () => {
			announcements.removeMovedServers(new Map([['s', 4]]));
			expect(hasServer()).to.equal(true);
		});

		it('lasts until the backend server returns to this node under a higher generation', () => {
			announcements.removeMovedServers(new Map([['s', 5]]));
			expect([acceptAnnouncement({generation: 4}), acceptAnnouncement({generation: 5}), acceptAnnouncement({generation: 6})])
				.to.deep.equal(['announcementStale', 'announcementStale', 'accepted']);
		});
	});
});
