/**
 * Sequential test for a rise of a share, against several possible new shares at once.
 *
 * Each alternative keeps the Shiryaev-Roberts statistic `R = (1 + R) * likelihood ratio`. While nothing is wrong, the
 * weighted sum of the statistics less the number of requests is a martingale; so the mean number of requests until the
 * sum reaches A by chance is at least A, whatever the alternatives and weights.
 */

/** A share that is tested for, with its weight; the weights of all tests of one detector sum up to 1. */
export type Alternative = {
	readonly share: number;
	readonly weight: number;
};

/** An alternative closer to the baseline than this factor is not told apart from it. */
const minShareRatio = 2;
const maxStatistic = 1e100;

function computeLikelihoodRatio(share: number, baseShare: number, isBadRequest: boolean): number {
	return isBadRequest ? share / baseShare : (1 - share) / (1 - baseShare);
}

/** One test in progress. */
export class MixtureTest {
	readonly #alternatives: readonly Alternative[];
	#statistics: readonly number[];

	constructor(alternatives: readonly Alternative[]) {
		this.#alternatives = alternatives;
		this.#statistics = alternatives.map(() => 0);
	}

	/** Takes one request; `baseShare` is what is normal at this time. */
	recordRequest(isBadRequest: boolean, baseShare: number): void {
		this.#statistics = this.#statistics.map((statistic, index) => {
			const {share} = this.#alternatives[index]!;
			return share < baseShare * minShareRatio
				? 0
				: Math.min(maxStatistic, (1 + statistic) * computeLikelihoodRatio(share, baseShare, isBadRequest));
		});
	}

	/** Weighted sum of the statistics. */
	computeStatistic(): number {
		return this.#statistics.reduce((sum, statistic, index) => sum + (statistic * this.#alternatives[index]!.weight), 0);
	}

	clear(): void {
		this.#statistics = this.#alternatives.map(() => 0);
	}
}
