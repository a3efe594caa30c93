/** Takes permits for organisations from their home nodes, and grants those of the organisations whose home this node is. */
import {type MetricRegistry} from '@limpetbarrow/core';
import {
	HomeHistory, QuotaBook, QuotaClient, QuotaTransport, rankHomes, type MembersView, type QuotaAnswer, type QuotaQuestion,
} from '@limpetbarrow/limits';
import {
	type Member, type MemberTable, type PeerQueries, type SendReply,
} from '@limpetbarrow/members';
import {type KeyedOrganisation, type ReleaseState} from '@limpetbarrow/releases';
import {type HandlePermit, type OrganisationQuotas} from './organisation-quotas.js';

/** Dependencies of the exchange. */
export type QuotaExchangeOptions = {
	readonly table: MemberTable;
	readonly state: ReleaseState;
	readonly queries: Pick<PeerQueries, 'ask' | 'registerTopic'>;
	readonly metrics: MetricRegistry;
};

const topic = 'quota';
/** Homes that are asked for one organisation, in the order of their ranks. */
const rankedHomes = 2;
/** Time between two looks at the members, in milliseconds. */
const viewPeriodMs = 300;
/** Delay of such a look from which the process counts as paused, in milliseconds. */
const pauseThresholdMs = 1000;
/** Time for which a dead member counts as one that may be cut off and still granting, in milliseconds. */
const maxDeadMs = 300_000;
/** Time for which an answer is waited for, in milliseconds; the client asks again before. */
const answerTimeoutMs = 600;
/** The same for a question that is passed on for another node: above a round trip between regions. */
const relayTimeoutMs = 150;

/** Asks homes by datagrams, and answers at once where this node is the home. */
class PeerQuotaTransport extends QuotaTransport {
	readonly #askHome: QuotaTransport['askHome'];
	readonly #countMembers: () => number;

	constructor(askHome: QuotaTransport['askHome'], countMembers: () => number) {
		super();
		this.#askHome = askHome;
		this.#countMembers = countMembers;
	}

	override askHome(...question: Parameters<QuotaTransport['askHome']>): void {
		this.#askHome(...question);
	}

	override countMembers(): number {
		return this.#countMembers();
	}
}

function parseAnswer(body: readonly unknown[] | undefined): QuotaAnswer | undefined {
	const [granted, waitMs, isSettled] = body ?? [];
	return typeof granted === 'number' && granted >= 0 && typeof waitMs === 'number' && waitMs >= 0 && typeof isSettled === 'boolean'
		? {granted, waitMs, isSettled}
		: undefined;
}

/** Connects the client and the book of this node with those of the others. */
export class QuotaExchange implements OrganisationQuotas {
	readonly #options: QuotaExchangeOptions;
	readonly #book = new QuotaBook();
	readonly #client: QuotaClient;
	readonly #history: HomeHistory;
	#view: MembersView;
	#viewedAt = performance.now();
	#timer: NodeJS.Timeout | undefined;

	constructor(options: QuotaExchangeOptions) {
		const {metrics} = options;
		this.#options = options;
		this.#view = this.#readView();
		this.#history = new HomeHistory(options.table.self.id, this.#view, performance.now());
		this.#client = new QuotaClient(new PeerQuotaTransport((...question) => {
			this.#askHome(...question);
		}, () => this.#history.countKnown(performance.now())));
		options.queries.registerTopic(topic, (body, {id}, sendReply) => this.#answerQuestion(body, id, sendReply));
		metrics.registerGauge('quota_requests_waiting', () => this.#client.countWaiting());
		metrics.registerGauge('quota_organisations', () => this.#client.countEntries());
		metrics.registerGauge('quota_buckets', () => this.#book.countBuckets());
	}

	start(): void {
		this.#viewedAt = performance.now();
		this.#timer = setInterval(() => {
			this.#updateView(performance.now());
		}, viewPeriodMs);
	}

	/** Grants nothing from now on. To be called before a planned stop is announced to other nodes. */
	startStopping(): void {
		this.#history.leave();
	}

	stop(): void {
		clearInterval(this.#timer);
	}

	takePermit({name, ratePerSecond = 0, burst = 0}: KeyedOrganisation, handlePermit: HandlePermit): () => void {
		return this.#client.takePermit({organisation: name, rate: ratePerSecond, burst}, performance.now(), result => {
			this.#options.metrics.addCount(result.isRight() ? 'quota_admitted_total' : 'quota_refused_total');
			handlePermit(result);
		});
	}

	releasePermit({name}: KeyedOrganisation): void {
		this.#client.returnPermit(name, performance.now());
	}

	/** Nodes that stop as planned grant nothing from the time at which they announce it. */
	#readView(): MembersView {
		const {table} = this.#options;
		const members = [...table.store.getState().members.values()];
		const isKnown = ({record, status}: Member): boolean => status !== 'dead' || performance.now() - (table.findEntry(record.id)?.statusAt ?? 0) < maxDeadMs;
		const serving = members.filter(member => member.record.state !== 'stopping' && isKnown(member));
		return {
			memberIds: serving.filter(({status}) => status !== 'dead').map(({record}) => record.id).toSorted(),
			known: serving.length,
			leftIds: members.filter(({record}) => record.state === 'stopping').map(({record}) => record.id),
		};
	}

	#updateView(now: number): void {
		if (now - this.#viewedAt > viewPeriodMs + pauseThresholdMs) {
			this.#history.resume(now);
		}

		this.#viewedAt = now;
		const view = this.#readView();
		if (view.known !== this.#view.known || view.memberIds.join(' ') !== this.#view.memberIds.join(' ')) {
			this.#view = view;
			this.#history.updateView(view, now);
		}
	}

	#askHome(...[rank, organisation, wanted, handleAnswer, number]: Parameters<QuotaTransport['askHome']>): void {
		const {table, queries, metrics} = this.#options;
		const homeId = rankHomes(organisation, this.#view.memberIds, rankedHomes)[rank];
		if (homeId === table.self.id) {
			const answer = this.#takePermits(organisation, {wanted});
			if (answer) {
				handleAnswer(answer);
			}
		} else if (homeId !== undefined) {
			metrics.addCount('quota_questions_total');
			queries.ask(homeId, topic, [organisation, wanted, number, this.#history.countKnown(performance.now())], answerTimeoutMs, body => {
				const answer = parseAnswer(body);
				if (answer) {
					handleAnswer(answer);
				}
			});
		}
	}

	/**
	 * Answers a question, or passes it on to the home: a node that can't reach the home asks the second-ranked node, which often
	 * can. A question that was passed on names its asker and is answered here.
	 */
	#answerQuestion([organisation, wanted, number, known, firstAsker]: readonly unknown[], sender: string, sendReply: SendReply): readonly unknown[] | undefined {
		if (typeof organisation !== 'string' || typeof wanted !== 'number' || typeof number !== 'number' || typeof known !== 'number' || wanted < 1) {
			return undefined;
		}

		this.#history.recordKnown(known, performance.now());
		const grant = (): readonly unknown[] | undefined => {
			const answer = this.#takePermits(organisation, {wanted, asker: typeof firstAsker === 'string' ? firstAsker : sender, number});
			return answer && [answer.granted, answer.waitMs, answer.isSettled];
		};

		const [home] = rankHomes(organisation, this.#view.memberIds, 1);
		if (home === undefined || home === this.#options.table.self.id || home === sender || firstAsker !== undefined) {
			return grant();
		}

		this.#options.queries.ask(home, topic, [organisation, wanted, number, known, sender], relayTimeoutMs, body => {
			const answer = parseAnswer(body) ? body : grant();
			if (answer) {
				sendReply(answer);
			}
		});
		return undefined;
	}

	/** Returns undefined for an organisation that the configuration in force doesn't know, or gives no quota. */
	#takePermits(name: string, question: Pick<QuotaQuestion, 'wanted' | 'asker' | 'number'>): QuotaAnswer | undefined {
		const organisation = this.#options.state.getConfiguration().keyedOrganisations?.get(name);
		if (organisation?.ratePerSecond === undefined) {
			return undefined;
		}

		const now = performance.now();
		return this.#book.takePermits({
			...question,
			organisation: name,
			rate: organisation.ratePerSecond,
			burst: organisation.burst ?? 0,
			share: this.#history.computeShare(now),
			homeForMs: this.#history.computeHomeForMs(name, now),
		}, now);
	}
}
