import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {MemberTable} from '../../index.js';
import {
	createNodeRecord, createServer, MemoryFleet,
} from '../memory-fleet.js';

const joinMs = 15_000;
const leaveBoundMs = 3000;
const releaseBoundMs = 6000;

function findHighestRelease(table: MemberTable): number {
	return Math.max(...table.listLive().map(({record}) => record.release));
}

describe('membership', () => {
	let clock: Clock;
	let fleet: MemoryFleet;

	beforeEach(() => {
		clock = install({now: 1_000_000});
		fleet = new MemoryFleet(7);
	});

	afterEach(() => {
		fleet.close();
		clock.uninstall();
	});

	async function startFleet(count: number): Promise<void> {
		await fleet.addAll(count, {servers: [createServer('s')]});
		await clock.tickAsync(joinMs);
	}

	function countAlive(): number {
		return [...fleet.members.values()].reduce((sum, {table}) => sum + table.listLive().filter(({status}) => status === 'alive').length, 0);
	}

	describe('joining', () => {
		it('makes all members known to each other through one seed', async () => {
			await startFleet(20);
			expect(countAlive()).to.equal(400);
		});

		it('gives a new member all records, and all members its record', async () => {
			await startFleet(12);
			const late = await fleet.add('late');
			await clock.tickAsync(joinMs);
			expect(late.table.listLive().map(({record}) => record.servers.length).filter(Boolean)).to.have.length(12);
			expect(fleet.listStatuses('late')).to.deep.equal(Array.from({length: 12}, () => 'alive'));
		});

		it('replaces the old run of a member that restarted at another port', async () => {
			await startFleet(6);
			fleet.crash('n2');
			await fleet.add('n2', {incarnation: 2, gossipAddress: {host: 'n2', port: 9}});
			await clock.tickAsync(joinMs);
			const ports = [...fleet.members.values()].map(({table}) => table.findMember('n2')?.record.gossipAddress.port);
			expect(ports).to.deep.equal([9, 9, 9, 9, 9, 9]);
		});
	});

	describe('updates', () => {
		it('reach all members within 3 s when a backend server leaves', async () => {
			await startFleet(20);
			fleet.members.get('n5')!.table.updateSelf(() => ({servers: [createServer('s', {state: 'leaving'})]}));
			await clock.tickAsync(leaveBoundMs);
			const states = [...fleet.members.values()].map(({table}) => table.findMember('n5')!.record.servers[0]!.state);
			expect(states).to.deep.equal(Array.from({length: 20}, () => 'leaving'));
		});

		it('reach all members within 6 s when the release number changes', async () => {
			await startFleet(20);
			fleet.members.get('n1')!.table.updateSelf(() => ({release: 5}));
			await clock.tickAsync(releaseBoundMs);
			const releases = [...fleet.members.values()].map(({table}) => findHighestRelease(table));
			expect(releases).to.deep.equal(Array.from({length: 20}, () => 5));
		});

		it('do not raise the sequence if nothing changes', () => {
			const table = new MemberTable(createNodeRecord('alone'));
			table.updateSelf(() => ({servers: [createServer('s')]}));
			const {sequence} = table.getSelf();
			table.updateSelf(() => ({servers: [createServer('s')], release: 1}));
			expect(table.getSelf().sequence).to.equal(sequence);
		});

		it('are repaired by digests when every message that carried them was lost', async () => {
			await startFleet(8);
			fleet.cuts.add('*>n4');
			fleet.members.get('n1')!.table.updateSelf(() => ({servers: [createServer('s', {generation: 9})]}));
			await clock.tickAsync(2000);
			fleet.cuts.clear();
			await clock.tickAsync(40_000);
			expect(fleet.members.get('n4')!.table.findMember('n1')!.record.servers[0]!.generation).to.equal(9);
		});
	});

	describe('failures', () => {
		it('declares a crashed member dead on all other members', async () => {
			await startFleet(10);
			fleet.crash('n3');
			await clock.tickAsync(40_000);
			expect(fleet.listStatuses('n3')).to.deep.equal(Array.from({length: 9}, () => 'dead'));
		});

		it('reports a planned stop to all other members within 3 s', async () => {
			await startFleet(10);
			fleet.members.get('n3')!.membership.leave();
			fleet.crash('n3');
			await clock.tickAsync(leaveBoundMs);
			expect(fleet.listStatuses('n3')).to.deep.equal(Array.from({length: 9}, () => 'dead'));
		});

		it('suspects no member while one path is blocked in one direction', async () => {
			await startFleet(8);
			const suspected = fleet.watchStatuses(['suspect', 'dead']);
			fleet.cuts.add('n2>n5');
			await clock.tickAsync(60_000);
			expect([...suspected]).to.deep.equal([]);
		});

		it('suspects only the member that receives no messages', async () => {
			await startFleet(8);
			fleet.cuts.add('*>n5');
			const suspected = fleet.watchStatuses(['suspect', 'dead'], 'n5');
			await clock.tickAsync(60_000);
			expect([...suspected]).to.deep.equal(['n5']);
		});

		it('accepts a member again that was paused until it was declared dead', async () => {
			await startFleet(8);
			fleet.pause('n5');
			await clock.tickAsync(60_000);
			expect(fleet.listStatuses('n5')).to.deep.equal(Array.from({length: 7}, () => 'dead'));
			fleet.resume('n5');
			expect(fleet.members.get('n5')!.table.listLive()).to.have.length(8);
			await clock.tickAsync(20_000);
			expect(countAlive()).to.equal(64);
		});

		it('does not let a paused member declare a member dead that it suspected before the pause', async () => {
			await startFleet(8);
			const {table} = fleet.members.get('n5')!;
			table.setStatus('n3', 'suspect');
			fleet.pause('n5');
			await clock.tickAsync(60_000);
			fleet.resume('n5');
			expect(table.findMember('n3')!.status).to.equal('suspect');
			await clock.tickAsync(20_000);
			expect(countAlive()).to.equal(64);
		});

		it('reconnects two partitions that declared each other dead, without seeds', async () => {
			await startFleet(8);
			const [left, right] = [['n0', 'n1', 'n2', 'n3'], ['n4', 'n5', 'n6', 'n7']] as const;
			fleet.removePaths(left, right);
			await clock.tickAsync(120_000);
			expect(countAlive()).to.equal(32);
			fleet.seeds.length = 0;
			fleet.cuts.clear();
			await clock.tickAsync(60_000);
			expect(countAlive()).to.equal(64);
		});

		it('declares no member dead at 5 % message loss', async () => {
			await startFleet(12);
			fleet.loss = 0.05;
			const dead = fleet.watchStatuses(['dead']);
			await clock.tickAsync(300_000);
			expect([...dead]).to.deep.equal([]);
		});
	});

	describe('dead members', () => {
		it('are removed after the retention time, and their old runs are refused', async () => {
			await startFleet(4);
			fleet.crash('n3');
			await clock.tickAsync(3_700_000);
			const {table} = fleet.members.get('n0')!;
			expect(table.findMember('n3')).to.equal(undefined);
			table.merge([createNodeRecord('n3')]);
			expect(table.findMember('n3')).to.equal(undefined);
			table.merge([createNodeRecord('n3', {incarnation: 2})]);
			expect(table.findMember('n3')?.record.incarnation).to.equal(2);
		});
	});
});
