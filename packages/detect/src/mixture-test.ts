/**
 * Sequential change detection: tests whether a share has risen, against several alternative shares at once.
 *
 * Each alternative has the Shiryaev-Roberts statistic `R = (1 + R) * likelihood ratio`. As long as the share has not risen,
 * the weighted sum of the statistics minus the number of requests is a martingale. So the mean number of requests until
 * the sum reaches A by chance is at least A, whatever the alternatives and weights.
 */

/** An alternative share with its weight; the weights of all tests of one detector sum up to 1. */
export type Alternative = {
	readonly share: number;
	readonly weight: number;
};

/** Least ratio of an alternative to the baseline; alternatives below it are not tested. */
const minShareRatio = 2;
/** Limit of a statistic, which keeps it finite. */
const maxStatistic = 1e100;

function computeLikelihoodRatio(share: number, baseShare: number, isBadRequest: boolean): number {
	return isBadRequest ? share / baseShare : (1 - share) / (1 - baseShare);
}

/** Test of one kind of bad requests. */
export class MixtureTest {
	readonly #alternatives: readonly Alternative[];
	#statistics: readonly number[];

	constructor(alternatives: readonly Alternative[]) {
		this.#alternatives = alternatives;
		this.#statistics = alternatives.map(() => 0);
	}

	/** Records one request; `baseShare` is the current normal share. */
	recordRequest(isBadRequest: boolean, baseShare: number): void {
		this.#statistics = this.#statistics.map((statistic, index) => {
			const {share} = this.#alternatives[index]!;
			return share < baseShare * minShareRatio
				? 0
				: Math.min(maxStatistic, (1 + statistic) * computeLikelihoodRatio(share, baseShare, isBadRequest));
		});
	}

	/** Computes the weighted sum of the statistics. */
	computeStatistic(): number {
		return this.#statistics.reduce((sum, statistic, index) => sum + (statistic * this.#alternatives[index]!.weight), 0);
	}

	clear(): void {
		this.#statistics = this.#alternatives.map(() => 0);
	}
}
