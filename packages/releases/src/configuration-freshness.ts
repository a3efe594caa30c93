/**
 * Proofs of how fresh the configuration in force on a node is. A proof states that at some time of this node's clocks, or
 * later, the newest configuration had a certain version; it covers the node while its own has that version or a higher one.
 *
 * The monotonic clock leaves out the time for which a host is suspended. The wall clock includes it, but may be set. So the
 * age of a proof is the larger of both differences, and a proof is dropped for good once they disagree.
 */

/** The readings of both clocks at one moment, in milliseconds. */
export type ClockReading = {
	readonly now: number;
	readonly wallNow: number;
};

/** A proof: at this moment or later, the newest configuration had this version. */
type Proof = {
	readonly at: ClockReading;
	readonly version: number;
};

/** A version that was the newest one at a time that lies `ageMs` back, or later. */
export type ProvenVersion = {
	readonly version: number;
	/** In milliseconds. */
	readonly ageMs: number;
};

/** Difference of the two ages of a proof above which it is dropped, in milliseconds. */
const maxClockDifferenceMs = 500;
/** Maximum number of proofs kept for versions above the node's own, which count once the node has them. */
const maxPendingProofs = 8;

/** Reads both clocks. */
export function readClocks(): ClockReading {
	return {now: performance.now(), wallNow: Date.now()};
}

function computeAgeMs({at}: Proof, {now, wallNow}: ClockReading): number {
	const ages = [now - at.now, wallNow - at.wallNow] as const;
	return Math.abs(ages[0] - ages[1]) > maxClockDifferenceMs ? Number.POSITIVE_INFINITY : Math.max(...ages);
}

/** Keeps the best proofs of one process. */
export class ConfigurationFreshness {
	readonly #getVersion: () => number;
	readonly #readClocks: () => ClockReading;
	/** Newest first. No proof is kept beside a newer one for the same or a lower version. */
	#proofs: readonly Proof[] = [];

	/** `getVersion` returns the version of the configuration in force. */
	constructor(getVersion: () => number, getClocks: () => ClockReading = readClocks) {
		this.#getVersion = getVersion;
		this.#readClocks = getClocks;
	}

	/** Reads the clocks that proofs are dated by; to be called before a call to the store or a question to a peer is sent. */
	readClocks(): ClockReading {
		return this.#readClocks();
	}

	/**
	 * Records that the newest configuration had this version at the start of a call, or later. For the answer of a peer,
	 * `ageMs` is the age of the peer's own proof as it answered: the proof is dated that much before the question.
	 */
	recordProof(startedAt: ClockReading, version: number, ageMs = 0): void {
		const at = {now: startedAt.now - ageMs, wallNow: startedAt.wallNow - ageMs};
		const clocks = this.#readClocks();
		this.#forgetDisagreeing(clocks);
		const added = {at, version};
		const addedAgeMs = computeAgeMs(added, clocks);
		const isWorse = this.#proofs.some(proof => proof.version <= version && computeAgeMs(proof, clocks) <= addedAgeMs);
		if (!isWorse && Number.isFinite(addedAgeMs)) {
			const kept = this.#proofs.filter(proof => proof.version < version || computeAgeMs(proof, clocks) < addedAgeMs);
			this.#replaceProofs([...kept, added].toSorted((a, b) => computeAgeMs(a, clocks) - computeAgeMs(b, clocks)));
		}
	}

	/** Returns the age of the best proof that covers the configuration in force, in milliseconds; infinite if there is none. */
	getAgeMs(now: number, wallNow: number): number {
		this.#forgetDisagreeing({now, wallNow});
		const proof = this.#findCovering();
		return proof ? computeAgeMs(proof, {now, wallNow}) : Number.POSITIVE_INFINITY;
	}

	/**
	 * Lists the proofs that are worth passing on: the best one that covers the configuration in force, and the newest one for
	 * a version that this node lacks, which may cover the asking node.
	 */
	listProofs(): readonly ProvenVersion[] {
		const clocks = this.#readClocks();
		this.#forgetDisagreeing(clocks);
		const covering = this.#findCovering();
		const [newest] = this.#proofs;
		return [...new Set([covering, newest])].flatMap(proof => proof ? [{version: proof.version, ageMs: computeAgeMs(proof, clocks)}] : []);
	}

	/** True while a proof of at most this age covers the configuration in force. */
	isProven(maxAgeMs: number): boolean {
		const {now, wallNow} = this.#readClocks();
		return this.getAgeMs(now, wallNow) <= maxAgeMs;
	}

	/** Returns the highest version that a proof names, 0 without proofs: that version exists, whether this node has it or not. */
	getHighestVersion(): number {
		return Math.max(0, ...this.#proofs.map(({version}) => version));
	}

	/** Drops all proofs. */
	clear(): void {
		this.#proofs = [];
	}

	#findCovering(): Proof | undefined {
		const version = this.#getVersion();
		return this.#proofs.find(proof => proof.version <= version);
	}

	/** Keeps the best proof that covers the configuration in force, and the newest of those for higher versions. */
	#replaceProofs(proofs: readonly Proof[]): void {
		const version = this.#getVersion();
		const covering = proofs.find(proof => proof.version <= version);
		const pending = proofs.filter(proof => proof.version > version).slice(0, maxPendingProofs);
		this.#proofs = [...pending, ...(covering ? [covering] : [])];
	}

	/** Drops proofs whose ages disagree. They must not count again when the wall clock is set back later. */
	#forgetDisagreeing(clocks: ClockReading): void {
		if (this.#proofs.some(proof => computeAgeMs(proof, clocks) === Number.POSITIVE_INFINITY)) {
			this.#proofs = this.#proofs.filter(proof => computeAgeMs(proof, clocks) !== Number.POSITIVE_INFINITY);
		}
	}
}
