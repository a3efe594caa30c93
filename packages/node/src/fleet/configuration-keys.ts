/** Whether a configuration names keys of callers. */
import {type Configuration} from '@limpetbarrow/releases';

/** True if requests need a key under this configuration. */
export function hasKeys({keyedOrganisations}: Configuration): boolean {
	return keyedOrganisations !== undefined;
}
