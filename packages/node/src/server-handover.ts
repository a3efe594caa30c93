/** Gives up backend servers that have announced themselves to another node. */
import {type MemberSnapshot, type MemberTable, type Announcements} from '@limpetbarrow/members';
import {type StateChange} from '@limpetbarrow/core';

function selectGenerations({before, after}: StateChange<Readonly<MemberSnapshot>>, selfId: string): ReadonlyMap<string, number> {
	const changed = [...after.members.values()].filter(({record, status}) => record.id !== selfId && status !== 'dead' && before.members.get(record.id)?.record !== record);
	return new Map(changed.flatMap(({record}) => record.servers.map(({id, generation}) => [id, generation] as const)));
}

/** Watches the members' records for higher generations of this node's backend servers. Returns the function that undoes it. */
export function registerHandover(table: MemberTable, announcements: Announcements): () => void {
	return table.store.registerListener(change => {
		if (announcements.store.getState().servers.size > 0) {
			announcements.removeMovedServers(selectGenerations(change, table.self.id));
		}
	});
}
