/**
 * Spreads proofs of freshness among nodes by questions: each node asks its parent in a tree over its failure domain, whose
 * root asks the store. When the parent doesn't answer, or its answer doesn't help, the node asks others.
 */
import {type PeerQueries} from '@limpetbarrow/members';
import {listRankedIds, type ConfigurationFreshness, type ReleasePeer} from '@limpetbarrow/releases';
import {groupItems, type Unregister} from '@limpetbarrow/core';

/** Dependencies of the exchange. */
export type FreshnessExchangeOptions = {
	readonly selfId: string;
	readonly failureDomain: string;
	readonly freshness: ConfigurationFreshness;
	readonly queries: Pick<PeerQueries, 'ask' | 'registerTopic'>;
	/** Lists the live nodes; the same list as long as nothing has changed. */
	readonly listNodes: () => readonly ReleasePeer[];
	/** True while requests are served only under a configuration that is proven fresh. */
	readonly isNeeded: () => boolean;
	readonly random?: () => number;
};

/** This node's place among the others. */
type TreePlace = {
	readonly nodes: readonly ReleasePeer[];
	/** Number of questions on the way to the root; 0 for the root itself. */
	readonly depth: number;
	/** The nodes on the way to the root, the parent first. */
	readonly ancestorIds: readonly string[];
	/** The other nodes of the failure domain. */
	readonly neighbourIds: readonly string[];
	/** The first nodes of the other failure domains. */
	readonly distantIds: readonly string[];
};

/** Topic of the questions. */
const topic = 'freshness';
/** Time between two questions to the parent, in milliseconds. */
export const exchangePeriodMs = 500;
/** Number of nodes that ask the same parent. */
export const treeFanout = 8;
/** Time between two questions that requests cause, in milliseconds. */
const requestedPeriodMs = 100;
/** Rounds without a helpful answer from which more nodes are asked, at the same time: those asked so far may be silent. */
const minWideRounds = 1;
/** Rounds without a helpful answer after which fewer questions are sent again: most likely no node has a proof. */
const maxWideRounds = 20;
/** Time to wait for an answer, in milliseconds. Three questions after each other fit into one exchange period. */
const answerTimeoutMs = 150;
/** Age of the root's proof up to which it needs no other node, in milliseconds: the period of its calls, and one that is late. */
const maxRootAgeMs = 1300;
/** First nodes of each other failure domain that are asked; they watch the store. */
const distantNodesPerDomain = 4;
const maxProofsPerAnswer = 8;
/** Time for which a node that gave no answer is passed over, in milliseconds: it may be dead, cut off or of an older build. */
const silencePeriodMs = 5000;

function toPairs(body: readonly unknown[]): ReadonlyArray<readonly [unknown, unknown]> {
	return Array.from({length: Math.min(maxProofsPerAnswer, Math.floor(body.length / 2))}, (_, index) => [body[2 * index], body[(2 * index) + 1]] as const);
}

function isCount(value: unknown): value is number {
	return Number.isSafeInteger(value) && (value as number) >= 0;
}

/** Asks for proofs as long as they are needed, and answers the questions of other nodes. */
export class FreshnessExchange {
	readonly #options: FreshnessExchangeOptions;
	#place: TreePlace | undefined;
	#timer: NodeJS.Timeout | undefined;
	#unregister: Unregister | undefined;
	#requestedAt = Number.NEGATIVE_INFINITY;
	#requestCount = 0;
	#unhelpfulRounds = 0;
	/** Monotonic times until which nodes are passed over, in milliseconds. */
	#silentUntil: ReadonlyMap<string, number> = new Map();

	constructor(options: FreshnessExchangeOptions) {
		this.#options = options;
	}

	start(): void {
		const {freshness, queries, isNeeded, random = Math.random} = this.#options;
		this.#unregister = queries.registerTopic(topic, () => freshness.listProofs().flatMap(({version, ageMs}) => [version, Math.ceil(ageMs)]));
		const runRound = (): void => {
			if (isNeeded()) {
				this.#runRound();
			}
		};

		this.#timer = setTimeout(() => {
			this.#timer = setInterval(runRound, exchangePeriodMs);
			runRound();
		}, random() * exchangePeriodMs);
	}

	stop(): void {
		clearInterval(this.#timer);
		this.#unregister?.();
	}

	/** Asks one node at once, another one each time; to be called when a request needs a proof that this node lacks. */
	askForProof(): void {
		const now = performance.now();
		const periodMs = this.#unhelpfulRounds < maxWideRounds ? requestedPeriodMs : exchangePeriodMs;
		if (!this.#options.isNeeded() || now - this.#requestedAt < periodMs) {
			return;
		}

		this.#requestedAt = now;
		this.#requestCount++;
		const ids = this.#listAskedIds();
		const id = ids[this.#requestCount % Math.max(1, ids.length)];
		if (id !== undefined) {
			this.#askNode(id, () => undefined);
		}
	}

	/** Asks the parent, and then others until the proof is as fresh as this place in the tree allows. */
	#runRound(): void {
		const place = this.#findPlace();
		if (place.depth === 0 && this.#isHelped(place)) {
			this.#unhelpfulRounds = 0;
		} else if (this.#unhelpfulRounds >= minWideRounds && this.#unhelpfulRounds < maxWideRounds) {
			this.#askAll([...new Set([...this.#listAskedIds(), ...this.#listAskedIds()])]);
		} else {
			this.#askNext(this.#listAskedIds());
		}
	}

	#askAll(ids: readonly string[]): void {
		const open = new Set(ids);
		ids.forEach(id => {
			this.#askNode(id, () => {
				open.delete(id);
				if (this.#isHelped(this.#findPlace())) {
					this.#unhelpfulRounds = 0;
				} else if (open.size === 0) {
					this.#unhelpfulRounds++;
				}
			});
		});
	}

	#askNext([id, ...others]: readonly string[]): void {
		if (id === undefined) {
			this.#unhelpfulRounds++;
			return;
		}

		this.#askNode(id, () => {
			if (this.#isHelped(this.#findPlace())) {
				this.#unhelpfulRounds = 0;
			} else {
				this.#askNext(others);
			}
		});
	}

	#askNode(id: string, handleEnd: () => void): void {
		const {freshness, queries} = this.#options;
		const startedAt = freshness.readClocks();
		queries.ask(id, topic, [], answerTimeoutMs, body => {
			this.#recordSilence(id, body === undefined);
			toPairs(body ?? []).forEach(([version, ageMs]) => {
				if (isCount(version) && isCount(ageMs)) {
					freshness.recordProof(startedAt, version, ageMs);
				}
			});
			handleEnd();
		});
	}

	#recordSilence(id: string, isSilent: boolean): void {
		if (isSilent || this.#silentUntil.has(id)) {
			const now = performance.now();
			const others = [...this.#silentUntil].filter(([other, until]) => other !== id && until > now);
			this.#silentUntil = new Map([...others, ...(isSilent ? [[id, now + silencePeriodMs] as const] : [])]);
		}
	}

	/** Selects the nodes that haven't been silent lately; all of them if there are none. */
	#selectAnswering(ids: readonly string[]): readonly string[] {
		const now = performance.now();
		const answering = ids.filter(id => (this.#silentUntil.get(id) ?? now) <= now);
		return answering.length > 0 ? answering : ids;
	}

	#isHelped({depth}: TreePlace): boolean {
		return this.#options.freshness.isProven(maxRootAgeMs + (depth * exchangePeriodMs));
	}

	/** Lists the nodes to ask, in order: the parent, a random one of the own failure domain, and a watcher of another one. */
	#listAskedIds(): readonly string[] {
		const {random = Math.random} = this.#options;
		const {ancestorIds, neighbourIds, distantIds} = this.#findPlace();
		const [parentId] = this.#selectAnswering(ancestorIds);
		const picked = [neighbourIds, distantIds].map(ids => this.#selectAnswering(ids)).map(ids => ids[Math.floor(random() * ids.length)]);
		return [...new Set([parentId, ...picked])].filter(id => id !== undefined);
	}

	#findPlace(): TreePlace {
		const nodes = this.#options.listNodes();
		if (this.#place?.nodes !== nodes) {
			this.#place = this.#locatePlace(nodes);
		}

		return this.#place;
	}

	/** A node that isn't among the serving ones asks the root. */
	#locatePlace(nodes: readonly ReleasePeer[]): TreePlace {
		const {selfId, failureDomain} = this.#options;
		const domains = groupItems(nodes, node => node.failureDomain);
		const rankedIds = listRankedIds(domains.get(failureDomain) ?? []);
		const index = rankedIds.indexOf(selfId);
		const ancestorIds = listAncestors(index === -1 ? 1 : index).map(ancestor => rankedIds[ancestor]).filter(id => id !== undefined);
		const distantIds = [...domains].filter(([domain]) => domain !== failureDomain)
			.flatMap(([, members]) => listRankedIds(members).slice(0, distantNodesPerDomain));
		return {
			nodes,
			depth: ancestorIds.length,
			ancestorIds,
			neighbourIds: rankedIds.filter(id => id !== selfId),
			distantIds,
		};
	}
}

/** Lists the indexes on the way from an index of the tree to its root, which is 0. */
function listAncestors(index: number): readonly number[] {
	const parent = Math.floor((index - 1) / treeFanout);
	return index <= 0 ? [] : [parent, ...listAncestors(parent)];
}
