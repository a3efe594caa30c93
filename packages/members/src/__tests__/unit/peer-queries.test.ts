import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {MemoryFleet} from '../memory-fleet.js';

const timeoutMs = 200;

describe('questions between members', () => {
	let clock: Clock;
	let fleet: MemoryFleet;
	let answers: Array<readonly unknown[] | undefined>;

	const ask = (to: string, body: readonly unknown[] = []): void => {
		fleet.members.get('n0')!.membership.queries.ask(to, 'age', body, timeoutMs, answer => {
			answers.push(answer);
		});
	};

	const registerAnswer = (id: string): void => {
		fleet.members.get(id)!.membership.queries.registerTopic('age', (body, from) => [id, from.id, ...body]);
	};

	beforeEach(async () => {
		clock = install();
		fleet = new MemoryFleet(7);
		answers = [];
		await fleet.addAll(4);
		await clock.tickAsync(5000);
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('are answered by the member that is asked, with the asker\'s id and the body', async () => {
		registerAnswer('n1');
		ask('n1', [3, true]);
		await clock.tickAsync(100);
		expect(answers).to.deep.equal([['n1', 'n0', 3, true]]);
	});

	it('get no answer about a topic that nobody registered, from an unknown member, or from this node itself', async () => {
		registerAnswer('n0');
		registerAnswer('n1');
		['n2', 'nobody', 'n0'].forEach(id => {
			ask(id);
		});
		await clock.tickAsync(timeoutMs + 1);
		expect(answers).to.deep.equal([undefined, undefined, undefined]);
	});

	// A component that is called twice would count one answer twice.
	it('end once, when the answer arrives after the timeout', async () => {
		registerAnswer('n1');
		const sent: number[] = [];
		fleet.members.get('n1')!.transport.messages.registerListener(({message}) => {
			if (message.kind === 'query') {
				sent.push(message.sequence);
			}
		});
		fleet.cuts.add('n1>n0');
		ask('n1');
		await clock.tickAsync(timeoutMs);
		fleet.members.get('n0')!.membership.handleMessage({
			message: {
				kind: 'reply', sender: {id: 'n1', incarnation: 1, refutation: 0}, sequence: sent[0]!, body: [1],
			}, from: {host: 'n1', port: 1},
		});
		expect(answers).to.deep.equal([undefined]);
	});

	// A member that answers in place of another one, or repeats an answer to an earlier question, would prove what isn't so.
	it('take an answer only from the member that was asked and only for the sequence that was sent', async () => {
		const sent: number[] = [];
		fleet.members.get('n1')!.transport.messages.registerListener(({message}) => {
			if (message.kind === 'query') {
				sent.push(message.sequence);
			}
		});
		ask('n1');
		await clock.tickAsync(50);
		const {membership} = fleet.members.get('n0')!;
		const handleReply = (id: string, sequence: number, mark: string): void => {
			membership.handleMessage({
				message: {
					kind: 'reply', sender: {id, incarnation: 1, refutation: 0}, sequence, body: [mark],
				}, from: {host: id, port: 1},
			});
		};

		handleReply('n2', sent[0]!, 'another member');
		handleReply('n1', sent[0]! - 1, 'another sequence');
		handleReply('n1', sent[0]!, 'right');
		handleReply('n1', sent[0]!, 'repeated');
		expect(answers).to.deep.equal([['right']]);
	});

	// Sequences that begin at the same number would let an answer to the process before a restart match a question of the next.
	it('begin at another sequence in each process', async () => {
		const sequences = new Set<number>();
		fleet.members.get('n1')!.transport.messages.registerListener(({message}) => {
			if (message.kind === 'query') {
				sequences.add(message.sequence);
			}
		});
		ask('n1');
		await clock.tickAsync(timeoutMs);
		fleet.crash('n0');
		await fleet.add('n0', {incarnation: 2});
		await clock.tickAsync(5000);
		ask('n1');
		await clock.tickAsync(timeoutMs);
		expect(sequences.size).to.equal(2);
		expect(Math.abs([...sequences][0]! - [...sequences][1]!)).to.be.above(1000);
	});

	it('are bounded in number; those beyond get no answer at once', async () => {
		fleet.cuts.add('n0>*');
		Array.from({length: 2100}).forEach(() => {
			ask('n1');
		});
		await clock.tickAsync(0);
		expect(answers.length).to.equal(52);
		await clock.tickAsync(timeoutMs);
		expect(answers.length).to.equal(2100);
		expect(fleet.members.get('n0')!.membership.queries.count()).to.equal(0);
	});

	it('call nothing after the node has left', async () => {
		ask('n2');
		fleet.members.get('n0')!.membership.leave();
		await clock.tickAsync(1000);
		expect(answers).to.deep.equal([]);
	});
});
