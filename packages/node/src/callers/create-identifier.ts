/** Connects the identifier of callers to the backend server of the host. */
import {type HostEgress} from '../backend/host-egress.js';
import {CallerIdentifier} from './caller-identity.js';
import {type CallerProtocol} from './ingress-request.js';

/** Creates the identifier of callers, on platforms where they may have keys. `isConfigurationProven` is false while keys can't be judged. */
export function createIdentifier({organisationHeaders: headerNames}: CallerProtocol, egress: HostEgress, isConfigurationProven: () => boolean): {readonly identifier?: CallerIdentifier} {
	return headerNames
		? {
			identifier: new CallerIdentifier({
				headerNames,
				findParent: requestId => egress.findParentRequest(requestId),
				isCallOfEnded: requestId => egress.isCallOfEnded(requestId),
				isConfigurationProven,
			}),
		}
		: {};
}
