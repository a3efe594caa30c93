/** What a node's recent views of the members say about its role as home of organisations. */
import {
	maxQuotaEntries, quotaNewcomerMs, quotaReportedKnownMs, quotaSettleMs, quotaTenureMs,
} from './constants.js';
import {rankHomes} from './rank-homes.js';

/** A node's view of the members. */
export type MembersView = {
	/** Ids of the live members, this node included. The list must not be changed in place. */
	readonly memberIds: readonly string[];
	/** Number of known members, dead ones included. */
	readonly known: number;
	/**
	 * Ids of members that have certainly stopped to grant: they announced their leaving, or their process is known to have
	 * ended, for example because the host reset its connections. Silence alone is no evidence.
	 */
	readonly leftIds?: readonly string[];
};

/** A share of the fleet and the last monotonic time at which it was seen, in milliseconds. */
type SeenShare = {
	readonly share: number;
	readonly until: number;
};

/** A number of known members, and the monotonic time at which another node last reported it, in milliseconds. */
type ReportedKnown = {
	readonly known: number;
	readonly at: number;
};

/** A member that is gone from the view. */
type GoneMember = {
	readonly id: string;
	/** Its id and that of this node, as a list of members to rank. */
	readonly pair: readonly string[];
	/** Monotonic time, in milliseconds. */
	readonly at: number;
	/** True when it has certainly stopped to grant. */
	readonly hasLeft: boolean;
};

/** Times since which members are in the view, in monotonic milliseconds. */
type Times = ReadonlyMap<string, number>;

/** Largest rise of the share after which buckets are kept: the bound allows more than this part of the burst. */
const maxShareRise = 0.02;

function selectRecent(times: Times, since: number): Times {
	return new Map([...times].filter(([_id, at]) => at > since));
}

/**
 * Follows the views of one node. A member that has just joined doesn't end the tenure of the home before it, because it
 * refers nodes to that home until it has settled. A member that died or became unreachable may still be granting, so the
 * tenure of its successor starts again. So does, without the time to settle, the tenure after a leave and after a partition:
 * another home has spent what was saved up until then.
 */
export class HomeHistory {
	readonly #selfId: string;
	#startedAt: number;
	#isLeaving = false;
	#reported: ReportedKnown = {known: 0, at: -Infinity};
	#view: MembersView;
	#joinedAt: Times = new Map();
	#gone: readonly GoneMember[] = [];
	/** Monotonic time at which the share last rose, in milliseconds. */
	#roseAt = -Infinity;
	/** Times from which the tenures count, by organisation, for the current view. */
	readonly #tenures = new Map<string, number>();
	#shares: readonly SeenShare[] = [];
	#established: readonly string[];
	#establishedUntil = Infinity;

	/** `now` is the monotonic time at which the process announced itself to the members, in milliseconds. */
	constructor(selfId: string, view: MembersView, now: number) {
		this.#selfId = selfId;
		this.#startedAt = now;
		this.#view = view;
		this.#established = view.memberIds;
	}

	/** Replaces the view of the members. */
	updateView(view: MembersView, now: number): void {
		const share = this.#computeViewShare(now);
		this.#shares = [...this.#shares.filter(seen => seen.until > now - quotaSettleMs), {share, until: now}];
		const before = new Set(this.#view.memberIds);
		const after = new Set(view.memberIds);
		const left = new Set(view.leftIds);
		this.#joinedAt = new Map([
			...selectRecent(this.#joinedAt, now - quotaNewcomerMs),
			...view.memberIds.filter(id => !before.has(id)).map(id => [id, now] as const),
		]);
		this.#gone = [
			...this.#gone.filter(({id, at}) => at > now - quotaTenureMs && !after.has(id)),
			...this.#view.memberIds.filter(id => !after.has(id)).map(id => ({
				id, pair: [id, this.#selfId], at: now, hasLeft: left.has(id),
			})),
		];
		this.#tenures.clear();
		this.#view = view;
		this.#roseAt = this.#computeViewShare(now) - this.computeShare(now) > maxShareRise ? now : this.#roseAt;
		this.#establishedUntil = -Infinity;
	}

	/**
	 * Records the number of members that another node knows, as its questions say. A node that was started during a partition
	 * doesn't know the members on the other side, and would take its side for the whole fleet.
	 */
	recordKnown(known: number, now: number): void {
		if (known >= this.#reported.known || now - this.#reported.at > quotaReportedKnownMs) {
			this.#reported = {known, at: now};
		}
	}

	/** Counts the known members: those of this node's view, or of the node that recently reported most. */
	countKnown(now: number): number {
		return Math.max(1, this.#view.known, now - this.#reported.at > quotaReportedKnownMs ? 0 : this.#reported.known);
	}

	/** Ends the tenure of this node for all organisations. To be called before the leaving is announced to any other node. */
	leave(): void {
		this.#isLeaving = true;
	}

	/** Starts the tenure again after the process was paused, because its view of the members is as old as the pause was long. */
	resume(now: number): void {
		this.#startedAt = now;
	}

	/** Computes the share of the known members that were alive in this view and in all others of the last 3.5 s. */
	computeShare(now: number): number {
		const shares = this.#shares.filter(({until}) => until > now - quotaSettleMs).map(({share}) => share);
		return Math.min(this.#computeViewShare(now), ...shares);
	}

	/**
	 * Computes for how long this node has been the home of an organisation, in milliseconds; 0 when it isn't. Where it is known
	 * that no other node can still be granting, the time begins with what a home needs to settle.
	 */
	computeHomeForMs(organisation: string, now: number): number {
		const established = this.#getEstablished(now);
		if (this.#isLeaving || rankHomes(organisation, established, 1)[0] !== this.#selfId) {
			return 0;
		}

		return Math.max(0, now - Math.max(this.#startedAt, this.#getTenure(organisation)));
	}

	#getTenure(organisation: string): number {
		const known = this.#tenures.get(organisation);
		if (known !== undefined) {
			return known;
		}

		const since = this.#gone
			.filter(({id, pair}) => rankHomes(organisation, pair, 1)[0] === id)
			.map(({at, hasLeft}) => hasLeft ? at - quotaSettleMs : at);
		const tenure = Math.max(this.#roseAt - quotaSettleMs, ...since);
		if (this.#tenures.size >= maxQuotaEntries) {
			this.#tenures.clear();
		}

		this.#tenures.set(organisation, tenure);
		return tenure;
	}

	#computeViewShare(now: number): number {
		return Math.min(1, this.#view.memberIds.length / this.countKnown(now));
	}

	/** The members without the newcomers, as a list that stays the same while it holds. */
	#getEstablished(now: number): readonly string[] {
		if (now >= this.#establishedUntil) {
			this.#joinedAt = selectRecent(this.#joinedAt, now - quotaNewcomerMs);
			this.#establishedUntil = Math.min(Infinity, ...[...this.#joinedAt.values()].map(at => at + quotaNewcomerMs));
			this.#established = this.#joinedAt.size === 0
				? this.#view.memberIds
				: this.#view.memberIds.filter(id => id === this.#selfId || !this.#joinedAt.has(id));
		}

		return this.#established;
	}
}
