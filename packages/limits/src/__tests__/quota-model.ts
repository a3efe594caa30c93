/**
 * A model of a fleet that applies quotas of organisations, with fake time and without a network. Messages take 1 to 60 ms and
 * 1% are lost; nodes learn of each change of the membership after a delay of their own, up to 1 to 3 s.
 */
import {withGlobal, type Clock} from '@sinonjs/fake-timers';
import {
	HomeHistory, QuotaBook, QuotaClient, QuotaTransport, rankHomes, type OrganisationLimit, type QuotaAnswer, type QuotaQuestion,
} from '../index.js';
import {
	computeExcess, createOrganisations, createRandom, windowMs, type Disruption, type Organisation, type OrganisationFigures, type QuotaFigures, type QuotaRun, type Usage,
} from './quota-loads.js';
import {startCallers} from './quota-callers.js';

const durationMs = 22_000;
const loweredAtMs = 8000;
/** Time after which all nodes know of a leave, as measured in docs/design/members.md. */
const leaveKnownMs = 700;
const lossShare = 0.01;
const notRunShare = 0.02;
const goneCallerShare = 0.01;

type AskHome = QuotaTransport['askHome'];

type Node = {
	readonly id: string;
	readonly client: QuotaClient;
	readonly book: QuotaBook;
	readonly history: HomeHistory;
	view: ReadonlySet<string>;
	viewIds: readonly string[];
	lost: ReadonlySet<string>;
	isAlive: boolean;
	isLeaving: boolean;
	side: number;
	isLowered: boolean;
};

/** A fleet in fake time. */
class QuotaFleet {
	readonly #clock: Clock;
	readonly #random: () => number;
	readonly #run: QuotaRun;
	readonly #organisations: readonly Organisation[];
	readonly #nodes = new Map<string, Node>();
	readonly #usages = new Map<string, Usage>();
	readonly #messagesById = new Map<string, number>();
	/** A random number for each name; the sum identifies a set of names. */
	readonly #names = new Map<string, number>();
	readonly #lists = new Map<number, readonly string[]>();
	#loweredEverywhereAt = Infinity;
	#messages = 0;
	#requests = 0;

	constructor(run: QuotaRun, clock: Clock) {
		this.#run = run;
		this.#clock = clock;
		this.#random = createRandom(run.seed);
		this.#organisations = createOrganisations(this.#random);
		const ids = Array.from({length: run.size}, () => this.#createName());
		ids.forEach(id => {
			this.#nodes.set(id, this.#createNode(id, ids, -60_000));
		});
	}

	/** Runs the whole course of events. */
	runAll(): QuotaFigures {
		this.#organisations.forEach(organisation => {
			this.#usages.set(organisation.organisation, {admittedAt: [], refused: 0, longestWaitMs: 0});
			startCallers(organisation, {
				random: this.#random,
				setTimer: (delayMs, run) => {
					this.#setTimer(delayMs, run);
				},
				pickNode: () => this.#pickNode(),
				sendRequest: node => {
					this.#sendRequest(node, organisation);
				},
			});
		});
		this.#setTimer(loweredAtMs, () => {
			this.#applyLowerQuota();
		});
		if (this.#run.disruption === 'churn' || this.#run.disruption === 'churnAndCut') {
			Array.from({length: 10}, (_value, index) => 5000 + (index * 1000)).forEach(at => {
				this.#setTimer(at, () => {
					this.#playChange();
				});
			});
		}

		if (this.#run.disruption === 'cut' || this.#run.disruption === 'churnAndCut') {
			this.#setTimer(6000 + (this.#random() * 1000), () => {
				this.#startCut();
			});
			this.#setTimer(13_000 + (this.#random() * 2000), () => {
				this.#stopCut();
			});
		}

		this.#clock.tick(durationMs);
		return {
			durationMs, messages: this.#messages, requests: this.#requests, messagesOfBusiest: Math.max(...this.#messagesById.values()),
			organisations: this.#organisations.map(organisation => this.#computeFigures(organisation)),
		};
	}

	#computeFigures(organisation: Organisation): OrganisationFigures {
		const {admittedAt, refused, longestWaitMs} = this.#usages.get(organisation.organisation)!;
		const times = admittedAt.toSorted((a, b) => a - b);
		const isLowered = organisation.load === 'lowered';
		const [before, fullestBefore] = computeExcess(times, organisation, 0, Infinity);
		const [after, fullestAfter] = isLowered
			? computeExcess(times, this.#getLowered(organisation), this.#loweredEverywhereAt + windowMs, Infinity)
			: [-Infinity, 0];
		return {
			...organisation, admitted: times.length, refused, longestWaitMs, excess: Math.max(before, after), fullest: Math.max(fullestBefore, fullestAfter),
		};
	}

	#setTimer(delayMs: number, run: () => void): void {
		this.#clock.setTimeout(run, delayMs);
	}

	#createName(): string {
		const name = `host-${this.#names.size}.${Math.floor(this.#random() * 1_000_000)}`;
		this.#names.set(name, Math.floor(this.#random() * (2 ** 40)));
		return name;
	}

	/** Nodes with the same view share one list, so that rankings are computed once. */
	#getList(view: ReadonlySet<string>): readonly string[] {
		const key = [...view].reduce((sum, id) => sum + this.#names.get(id)!, 0);
		const list = this.#lists.get(key) ?? [...view];
		this.#lists.set(key, list);
		return list;
	}

	#createNode(id: string, ids: readonly string[], startedAt: number): Node {
		const transport = new ModelTransport((...question) => {
			this.#sendQuestion(node, ...question);
		}, () => node.history.countKnown(performance.now()));
		const view = new Set([...ids, id]);
		const viewIds = this.#getList(view);
		const node: Node = {
			id, view, viewIds, lost: new Set(), isAlive: true, isLeaving: false, side: 0, isLowered: performance.now() >= loweredAtMs, book: new QuotaBook(),
			client: new QuotaClient(transport, {random: this.#random}), history: new HomeHistory(id, {memberIds: viewIds, known: view.size}, startedAt),
		};
		return node;
	}

	#listAlive(): readonly Node[] {
		return [...this.#nodes.values()].filter(({isAlive}) => isAlive);
	}

	#pickNode(): Node {
		const alive = this.#listAlive().filter(({isLeaving}) => !isLeaving);
		return alive[Math.floor(this.#random() * alive.length)]!;
	}

	#getLowered<Limit extends OrganisationLimit>(limit: Limit): Limit {
		return {...limit, rate: limit.rate / 2, burst: Math.ceil(limit.burst / 2)};
	}

	#getLimit(node: Node, organisation: Organisation): Organisation {
		return organisation.load === 'lowered' && node.isLowered ? this.#getLowered(organisation) : organisation;
	}

	#applyLowerQuota(): void {
		const delays = this.#listAlive().map(node => {
			const delayMs = this.#random() * 2000;
			this.#setTimer(delayMs, () => {
				node.isLowered = true;
			});
			return delayMs;
		});
		this.#loweredEverywhereAt = performance.now() + Math.max(...delays);
	}

	// Messages

	#sendMessage(from: Node, to: Node, handleArrival: () => void): void {
		this.#messages++;
		this.#messagesById.set(from.id, (this.#messagesById.get(from.id) ?? 0) + 1);
		const isLost = this.#random() < lossShare;
		this.#setTimer(1 + (this.#random() * 59), () => {
			if (!isLost && to.isAlive && from.side === to.side) {
				handleArrival();
			}
		});
	}

	#sendQuestion(node: Node, ...[rank, organisation, wanted, handleAnswer, number]: Parameters<AskHome>): void {
		const homeId = rankHomes(organisation, node.viewIds, 2)[rank];
		const home = homeId === undefined ? undefined : this.#nodes.get(homeId);
		if (!node.isAlive || !home) {
			return;
		}

		if (home === node) {
			handleAnswer(this.#takePermits(home, organisation, {wanted}));
			return;
		}

		const known = node.history.countKnown(performance.now());
		this.#sendMessage(node, home, () => {
			home.history.recordKnown(known, performance.now());
			const answer = this.#takePermits(home, organisation, {wanted, asker: node.id, number});
			this.#sendMessage(home, node, () => {
				handleAnswer(answer);
			});
		});
	}

	#takePermits(home: Node, name: string, question: Pick<QuotaQuestion, 'wanted' | 'asker' | 'number'>): QuotaAnswer {
		const now = performance.now();
		const organisation = this.#organisations.find(candidate => candidate.organisation === name)!;
		const {rate, burst} = this.#getLimit(home, organisation);
		return home.book.takePermits({
			...question, organisation: name, rate, burst, share: home.history.computeShare(now), homeForMs: home.history.computeHomeForMs(name, now),
		}, now);
	}

	// Callers

	#sendRequest(node: Node, organisation: Organisation): void {
		const usage = this.#usages.get(organisation.organisation)!;
		const sentAt = performance.now();
		this.#requests++;
		let results = 0;
		const cancelPermit = node.client.takePermit(this.#getLimit(node, organisation), sentAt, result => {
			results++;
			if (results > 1) {
				throw new Error('a request got two results');
			}

			if (!node.isAlive) {
				return;
			}

			const now = performance.now();
			if (result.isLeft()) {
				usage.refused++;
			} else if (this.#random() < notRunShare) {
				this.#setTimer(5 + (this.#random() * 195), () => {
					node.client.returnPermit(organisation.organisation, performance.now());
				});
			} else {
				usage.longestWaitMs = Math.max(usage.longestWaitMs, now - sentAt);
				usage.admittedAt.push(now);
			}
		});
		if (results === 0 && this.#random() < goneCallerShare) {
			this.#setTimer(20, cancelPermit);
		}
	}

	// Members

	/** Tells each node of a change after a delay of its own. */
	#announceChange(applyChange: (node: Node) => void, maxDelayMs = 1000 + (this.#random() * 2000)): void {
		this.#listAlive().forEach(node => {
			this.#setTimer(this.#random() * maxDelayMs, () => {
				if (node.isAlive) {
					applyChange(node);
				}
			});
		});
	}

	#setView(node: Node, view: ReadonlySet<string>, lost: ReadonlySet<string>, leftIds: readonly string[] = []): void {
		node.view = view;
		node.viewIds = this.#getList(view);
		node.lost = lost;
		node.history.updateView({memberIds: node.viewIds, known: view.size + lost.size, leftIds}, performance.now());
	}

	/** Announces that a member is gone, to the nodes that are on its side when they hear of it. */
	#removeMember(removed: Node, hasLeft: boolean): void {
		const {id} = removed;
		this.#announceChange(node => {
			if (node.side === removed.side && node.id !== removed.id && this.#nodes.get(removed.id) === removed) {
				const view = new Set([...node.view].filter(other => other !== id));
				const lost = new Set([...node.lost].filter(other => other !== id));
				this.#setView(node, view, hasLeft ? lost : new Set([...lost, id]), hasLeft ? [id] : []);
			}
		}, hasLeft ? leaveKnownMs : undefined);
	}

	#startMember(id: string, side: number): void {
		const peers = this.#listAlive().filter(node => node.side === side).map(node => node.id);
		const started = this.#createNode(id, peers, performance.now());
		started.side = side;
		this.#nodes.set(id, started);
		this.#announceChange(node => {
			if (node.side === started.side && started.isAlive) {
				this.#setView(node, new Set([...node.view, id]), new Set([...node.lost].filter(other => other !== id)));
			}
		});
	}

	/** Half of the changes hit a home of an organisation in use. */
	#playChange(): void {
		const alive = this.#listAlive().map(({id}) => id);
		const organisation = this.#organisations[Math.floor(this.#random() * this.#organisations.length)]!;
		const victim = this.#random() < 0.5 ? this.#nodes.get(rankHomes(organisation.organisation, alive, 1)[0]!)! : this.#pickNode();
		const kind = this.#random();
		if (kind < 0.2) {
			this.#startMember(this.#createName(), victim.side);
			return;
		}

		if (kind < 0.6) {
			// A node that leaves tells the others, and stops after the requests in progress.
			victim.isLeaving = true;
			victim.history.leave();
			this.#removeMember(victim, true);
			this.#runRestart(victim, 1500, 500 + (this.#random() * 5000));
			return;
		}

		const isNoticed = kind < 0.95;
		if (isNoticed) {
			this.#removeMember(victim, false);
		}

		this.#runRestart(victim, 0, isNoticed ? 500 + (this.#random() * 5000) : 200);
	}

	#runRestart(victim: Node, stopAfterMs: number, startAfterMs: number): void {
		this.#setTimer(stopAfterMs, () => {
			victim.isAlive = false;
			this.#setTimer(startAfterMs, () => {
				this.#startMember(victim.id, victim.side);
			});
		});
	}

	#startCut(): void {
		const share = this.#random() < 0.5 ? 0.5 : 0.02 + (this.#random() * 0.48);
		this.#listAlive().forEach(node => {
			node.side = this.#random() < share ? 1 : 0;
		});
		this.#announceChange(node => {
			const sides = new Map([...this.#nodes.values()].map(({id, side}) => [id, side]));
			const view = new Set([...node.view].filter(id => sides.get(id) === node.side));
			this.#setView(node, view, new Set([...node.lost, ...[...node.view].filter(id => !view.has(id))]));
		});
	}

	#stopCut(): void {
		this.#nodes.forEach(node => {
			node.side = 0;
		});
		this.#announceChange(node => {
			const view = new Set(this.#listAlive().map(({id}) => id));
			this.#setView(node, view, new Set([...node.lost].filter(id => !view.has(id))));
		});
	}
}

class ModelTransport extends QuotaTransport {
	readonly #askHome: AskHome;
	readonly #countMembers: () => number;

	constructor(askHome: AskHome, countMembers: () => number) {
		super();
		this.#askHome = askHome;
		this.#countMembers = countMembers;
	}

	override askHome(...parameters: Parameters<AskHome>): void {
		this.#askHome(...parameters);
	}

	override countMembers(): number {
		return this.#countMembers();
	}
}

/** Runs the model once, in fake time. */
export function simulateQuotas(run: QuotaRun): QuotaFigures {
	const clock = withGlobal(globalThis).install({now: 0, toFake: ['setTimeout', 'clearTimeout', 'performance']});
	try {
		return new QuotaFleet(run, clock).runAll();
	} finally {
		clock.uninstall();
	}
}

const disruptions: readonly Disruption[] = ['none', 'churn', 'cut', 'churnAndCut'];

/** The run of a seed: seeds take turns in disruptions, and in fours in sizes. */
export function createRun(seed: number): QuotaRun {
	return {seed, size: Math.floor(seed / 4) % 2 === 0 ? 100 : 730, disruption: disruptions[seed % 4]!};
}
