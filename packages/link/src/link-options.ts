/** What links report to. */
import {type Logger, type MetricRegistry, type Unregister} from '@limpetbarrow/core';

/** Logger and metrics of the node. */
export type LinkOptions = {
	readonly logger: Logger;
	readonly metrics: MetricRegistry;
	/** Calls back each `heartbeatMs`, for all links together; a session without it has a timer of its own. */
	readonly registerTick?: (listener: () => void) => Unregister;
};
