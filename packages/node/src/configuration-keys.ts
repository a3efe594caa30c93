/** Whether a configuration names keys of callers. */
import {type Configuration} from '@limpetbarrow/releases';

/** True if requests need a key under this configuration. No configuration names keys yet; this is the one place that decides. */
export function hasKeys(_configuration: Configuration): boolean {
	return false;
}
