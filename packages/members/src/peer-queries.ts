/**
 * Questions and answers between members, one datagram each. A question that is lost, or whose answer is lost, times out;
 * nothing is sent again here. An answer arrives after its question was sent, so it describes a state that is not older than
 * the question.
 */
import {randomBytes} from 'node:crypto';
import {type Address, type MetricRegistry, type Unregister} from '@limpetbarrow/core';
import {createSender, type MembershipContext} from './dissemination.js';
import {type QueryMessage, type ReplyMessage} from './message.js';

/** Sends the answer to a question that was not answered at once. */
export type SendReply = (body: readonly unknown[]) => void;

/**
 * Computes the answer to a question; undefined if there is none, or if it is sent later by `sendReply`. It must accept any items
 * and must not throw.
 */
export type AnswerQuery = (body: readonly unknown[], from: {readonly id: string}, sendReply: SendReply) => readonly unknown[] | undefined;

/** Receives the answer to a question; undefined if none has arrived in time. */
export type HandleReply = (body: readonly unknown[] | undefined) => void;

type Question = {
	readonly memberId: string;
	readonly timer: NodeJS.Timeout;
	readonly handleAnswer: HandleReply;
};

/** Maximum number of questions in progress; further ones get no answer. */
const maxQuestions = 2048;
const sequenceBytes = 6;

/** Sends this node's questions and answers those of other members. */
export class PeerQueries {
	readonly #context: MembershipContext;
	readonly #metrics: MetricRegistry | undefined;
	readonly #topics = new Map<string, AnswerQuery>();
	readonly #questions = new Map<number, Question>();
	/** Starts at random, so that a late answer to an earlier process of this node matches no question of this one. */
	#sequence = randomBytes(sequenceBytes).readUIntBE(0, sequenceBytes);

	constructor(context: MembershipContext, metrics?: MetricRegistry) {
		this.#context = context;
		this.#metrics = metrics;
	}

	/** Answers the questions about a topic of at most 32 characters. Returns a function that ends this. */
	registerTopic(topic: string, answer: AnswerQuery): Unregister {
		this.#topics.set(topic, answer);
		return () => {
			if (this.#topics.get(topic) === answer) {
				this.#topics.delete(topic);
			}
		};
	}

	/**
	 * Sends a question to another member. `body` has at most 16 items: texts of at most 128 characters, finite numbers and
	 * booleans. `handleAnswer` is called once, later: with the member's answer, or with undefined when it has not arrived
	 * after `timeoutMs`, the member is unknown, or too many questions are in progress. It isn't called after `close`.
	 */
	// eslint-disable-next-line max-params
	ask(memberId: string, topic: string, body: readonly unknown[], timeoutMs: number, handleAnswer: HandleReply): void {
		const {table, transport} = this.#context;
		const member = memberId === table.self.id ? undefined : table.findMember(memberId);
		if (!member || this.#questions.size >= maxQuestions) {
			queueMicrotask(() => {
				handleAnswer(undefined);
			});
			return;
		}

		this.#sequence++;
		const sequence = this.#sequence;
		const timer = setTimeout(() => {
			this.#metrics?.addCount('peer_queries_unanswered_total', 1, {topic});
			this.#finishQuestion(sequence, undefined);
		}, timeoutMs);
		this.#questions.set(sequence, {memberId, timer, handleAnswer});
		this.#metrics?.addCount('peer_queries_total', 1, {topic});
		transport.send(member.record.gossipAddress, {
			kind: 'query', sender: createSender(table), sequence, topic, body,
		});
	}

	/** Counts the questions in progress. */
	count(): number {
		return this.#questions.size;
	}

	/** Answers a question of another member, if its topic is registered. */
	handleQuery({sender, sequence, topic, body}: QueryMessage, from: Address): void {
		const {table, transport} = this.#context;
		const sendReply: SendReply = answer => {
			transport.send(from, {
				kind: 'reply', sender: createSender(table), sequence, body: answer,
			});
		};

		const answer = this.#topics.get(topic)?.(body, {id: sender.id}, sendReply);
		if (answer) {
			sendReply(answer);
		}
	}

	/** Accepts an answer if it comes from the member that was asked; ignores it otherwise. */
	handleReply({sender, sequence, body}: ReplyMessage): void {
		if (this.#questions.get(sequence)?.memberId === sender.id) {
			this.#finishQuestion(sequence, body);
		}
	}

	/** Drops all questions in progress without calling their handlers. */
	close(): void {
		[...this.#questions.values()].forEach(({timer}) => {
			clearTimeout(timer);
		});
		this.#questions.clear();
	}

	#finishQuestion(sequence: number, body: readonly unknown[] | undefined): void {
		const question = this.#questions.get(sequence);
		if (question) {
			clearTimeout(question.timer);
			this.#questions.delete(sequence);
			question.handleAnswer(body);
		}
	}
}
