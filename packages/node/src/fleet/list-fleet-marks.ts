/** The poison marks of all nodes, those included that are not live any more. */
import {type PoisonMark} from '@limpetbarrow/core';
import {type FleetMarks} from '@limpetbarrow/detect';
import {type MemberTable} from '@limpetbarrow/members';

/** Records what the live nodes publish, and lists the unexpired marks. */
export function listFleetMarks(fleetMarks: FleetMarks, table: MemberTable): readonly PoisonMark[] {
	const now = Date.now();
	fleetMarks.recordPublished(table.listLive().map(({record}) => ({nodeId: record.id, incarnation: record.incarnation, marks: record.poison})), now);
	return fleetMarks.list(now);
}
