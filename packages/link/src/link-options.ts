/** Options that links of both sides share. */
import {type Logger, type MetricRegistry, type Unregister} from '@limpetbarrow/core';

/** Logger and metrics of the node, and the shared timer of its links. */
export type LinkOptions = {
	readonly logger: Logger;
	readonly metrics: MetricRegistry;
	/** Registers a listener on a timer shared by all links, every `heartbeatIntervalMs`; without it each session has its own. */
	readonly registerTick?: (listener: () => void) => Unregister;
};
