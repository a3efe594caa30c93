/** What links report to. */
import {type Logger, type MetricRegistry} from '@limpetbarrow/core';

/** Logger and metrics of the node. */
export type LinkOptions = {
	readonly logger: Logger;
	readonly metrics: MetricRegistry;
};
