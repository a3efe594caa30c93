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
		it('follows the table', () => {
			expect(rows.map(([name, change, remoteHost]) => [name, acceptAnnouncement(change, remoteHost)])).to.deep.equal(rows.map(row => [row[0], row[3]]));
		});

		it('refuses anything that is no announcement', () => {
			const inputs = [undefined, null, 4, 'text', [], {}];
			expect(inputs.map(input => announcements.accept(input, host).isLeft())).to.not.include(false);
		});

		it('takes a bounded number of servers', () => {
			const names = Array.from({length: 300}, (_, index) => acceptAnnouncement({id: `s${index}`}));
			expect(names.filter(name => name === 'accepted')).to.have.length(256);
		});
	});

	describe('lease', () => {
		it('lapses without renewal', () => {
			acceptAnnouncement({});
			simulateSweeps(announcementLeaseMs);
			expect(hasServer()).to.equal(true);
			simulateSweeps(2 * announcementSweepMs);
			expect(hasServer()).to.equal(false);
		});

		it('holds while renewed', () => {
			acceptAnnouncement({});
			simulateSweeps(4000);
			acceptAnnouncement({});
			simulateSweeps(4000);
			expect(hasServer()).to.equal(true);
		});

		it('lasts one more lease after a pause of the node, and no longer', () => {
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

		it('is not undone by a renewal that was late', () => {
			expect(acceptAnnouncement({})).to.equal('announcementStale');
			expect(announcements.store.getState().servers.get('s')!.isLeaving).to.equal(true);
		});

		it('ends when the server comes back under a higher generation', () => {
			expect(acceptAnnouncement({generation: 5})).to.equal('accepted');
			expect(announcements.store.getState().servers.get('s')!.isLeaving).to.equal(false);
		});
	});

	describe('having left', () => {
		it('outlasts the announcement, so that a heartbeat from before it brings nothing back', () => {
			acceptAnnouncement({isLeaving: true});
			simulateSweeps(announcementLeaseMs + (2 * announcementSweepMs));
			expect(hasServer()).to.equal(false);
			expect(acceptAnnouncement({})).to.equal('announcementStale');
		});

		const rows: ReadonlyArray<readonly [string, number | undefined, number, string]> = [
			['of a run that is told', 4, 4, 'announcementStale'],
			['of an earlier run', 4, 3, 'announcementStale'],
			['of a later run', 4, 5, 'accepted'],
			['of one that started before a leave without a run', undefined, -1, 'announcementStale'],
			['of one that started after a leave without a run', undefined, 1, 'accepted'],
		];
		rows.forEach(([what, generation, announced, outcome]) => {
			it(`is remembered for a backend server that is not known; a heartbeat ${what} is ${outcome}`, () => {
				announcements.leave('s', generation);
				expect(acceptAnnouncement({generation: generation === undefined ? Date.now() + announced : announced})).to.equal(outcome);
			});
		});

		it('is taken from the process before this one, also when the heartbeat came first', () => {
			acceptAnnouncement({});
			announcements.recordLeft(new Map([['s', 4], ['other', 9]]));
			expect(announcements.store.getState().servers.get('s')!.isLeaving).to.equal(true);
			expect(acceptAnnouncement({})).to.equal('announcementStale');
		});

		it('of an earlier run says nothing about a later one', () => {
			acceptAnnouncement({generation: 5});
			announcements.leave('s', 4);
			expect(announcements.store.getState().servers.get('s')!.isLeaving).to.equal(false);
		});

		it('is remembered for a bounded number of backend servers, the latest of them', () => {
			Array.from({length: 100}, (_, index) => announcements.leave(`s${index}`, 1));
			expect(announcements.store.getState().left.size).to.equal(32);
			expect(acceptAnnouncement({id: 's99', generation: 1})).to.equal('announcementStale');
		});
	});

	describe('another node', () => {
		beforeEach(() => {
			acceptAnnouncement({});
		});

		it('gets the server under a higher generation', () => {
			announcements.removeMovedServers(new Map([['s', 5]]));
			expect(hasServer()).to.equal(false);
		});

		it('does not get it under the same or a lower one', () => {
			announcements.removeMovedServers(new Map([['s', 4]]));
			expect(hasServer()).to.equal(true);
		});

		it('keeps it until the server picks this node again', () => {
			announcements.removeMovedServers(new Map([['s', 5]]));
			expect([acceptAnnouncement({generation: 4}), acceptAnnouncement({generation: 5}), acceptAnnouncement({generation: 6})])
				.to.deep.equal(['announcementStale', 'announcementStale', 'accepted']);
		});
	});
});
