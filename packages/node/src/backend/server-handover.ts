/** Releases backend servers that have announced themselves to another node. */
import {type MemberSnapshot, type MemberTable, type Announcements} from '@limpetbarrow/members';
import {type StateChange} from '@limpetbarrow/core';

/** Generations of the backend servers, by id, in the changed records of other members that are not dead. */
function selectChangedGenerations({before, after}: StateChange<Readonly<MemberSnapshot>>, selfId: string): ReadonlyMap<string, number> {
	const changed = [...after.members.values()].filter(({record, status}) => record.id !== selfId && status !== 'dead' && before.members.get(record.id)?.record !== record);
	return new Map(changed.flatMap(({record}) => record.servers.map(({id, generation}) => [id, generation] as const)));
}

/**
 * Releases a backend server of this node once another member's record has it at a higher generation. Returns the function
 * that removes the listener.
 */
export function registerServerHandover(table: MemberTable, announcements: Announcements): () => void {
	return table.store.registerListener(change => {
		if (announcements.store.getState().servers.size > 0) {
			announcements.removeMovedServers(selectChangedGenerations(change, table.self.id));
		}
	});
}
