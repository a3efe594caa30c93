/**
 * Virtual times of the organisations that wait for one backend server with the same priority: start-time fair queueing, by
 * expected work.
 *
 * Each organisation has a start tag, the virtual time at which its next request is due to start. A started request moves
 * the tag of its organisation on by its work; the organisation with the smallest tag goes next. An organisation that has
 * nothing queued can't save up: its tag is at least the virtual time when it returns. The virtual time moves on as in WF2Q+,
 * by the work started, divided by the number of organisations that wait, and at least to the smallest tag of those. With the
 * tag of the last start alone, as in plain start-time fair queueing, it would stand still while ever new organisations send
 * one request each, so that one with a tag above it would wait for all of them.
 */

/** Most organisations without a queued request whose tag is kept; beyond it, the smallest tag, that is the least debt, is dropped. */
export const maxKeptTags = 256;

/** Virtual times are in milliseconds of work. */
export class FairShares {
	readonly #startTags = new Map<string, number>();
	#virtualMs = 0;

	/** Returns the tag of the organisation's next request; `hasQueued` is true while it has requests queued. */
	getStartTag(organisation: string, hasQueued: boolean): number {
		const tag = this.#startTags.get(organisation) ?? this.#virtualMs;
		return hasQueued ? tag : Math.max(tag, this.#virtualMs);
	}

	/** Records that a request is queued by an organisation that had none queued. */
	recordArrival(organisation: string): void {
		this.#startTags.set(organisation, this.getStartTag(organisation, false));
	}

	/** Records the start of a request, as one of the organisations `queued` before it, and `left` after it. */
	recordStart(organisation: string, workMs: number, {queued, left}: {readonly queued: ReadonlySet<string>; readonly left: ReadonlySet<string>}): void {
		this.#startTags.set(organisation, this.getStartTag(organisation, true) + workMs);
		const smallestTag = Math.min(...[...left].map(other => this.getStartTag(other, true)));
		this.#virtualMs = Math.max(this.#virtualMs + (workMs / Math.max(1, queued.size)), Number.isFinite(smallestTag) ? smallestTag : 0);
		this.sweep(left);
	}

	/** Drops the tags that no longer matter, of organisations other than those `queued`. */
	sweep(queued: ReadonlySet<string>): void {
		const idle = [...this.#startTags].filter(([organisation]) => !queued.has(organisation));
		const kept = idle.filter(([, tag]) => tag > this.#virtualMs).toSorted(([, one], [, other]) => other - one).slice(0, maxKeptTags);
		const keptNames = new Set(kept.map(([organisation]) => organisation));
		idle.filter(([organisation]) => !keptNames.has(organisation)).forEach(([organisation]) => {
			this.#startTags.delete(organisation);
		});
	}

	/** Number of organisations whose tag is kept. */
	countTags(): number {
		return this.#startTags.size;
	}
}
