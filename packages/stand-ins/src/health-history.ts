/** The health and load a backend server stand-in reports, truly, late or falsely. */
import {type BackendFaults} from './backend-faults.js';

/** What the health endpoint answers. */
export type HealthReport = {
	readonly healthy: boolean;
	/** Requests running. */
	readonly running: number;
};

type Sample = {
	readonly at: number;
	readonly report: HealthReport;
};

const maxSamples = 1000;
const busyRunning = 1000;

/** Keeps past states, so that they can be reported late. */
export class HealthHistory {
	#samples: readonly Sample[] = [];

	/** Keeps the state of now. */
	record(report: HealthReport): void {
		this.#samples = [...this.#samples.slice(1 - maxSamples), {at: performance.now(), report}];
	}

	/** Creates the report that the faults ask for. */
	createReport({health, healthLagMs}: BackendFaults, current: HealthReport): HealthReport {
		if (health === 'well') {
			return {healthy: true, running: 0};
		}

		if (health === 'ill') {
			return {healthy: false, running: busyRunning};
		}

		return health === 'current' ? current : this.#findAt(performance.now() - healthLagMs) ?? {healthy: true, running: 0};
	}

	#findAt(time: number): HealthReport | undefined {
		return this.#samples.findLast(({at}) => at <= time)?.report;
	}
}
