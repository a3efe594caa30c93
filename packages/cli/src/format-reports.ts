/** What the admin API reports, as text for terminals. */
import {formatAddress, type ServerRecord} from '@limpetbarrow/core';
import {type Member} from '@limpetbarrow/members';
import {
	type AuditEntry, type AuditTrail, type FleetStatus, type ItemNames, type NoteSummary,
} from '@limpetbarrow/node';
import {itemKinds} from '@limpetbarrow/releases';
import {formatTable} from './format-table.js';

const maxNamesShown = 5;

/** A backend server with the node that guards it. */
export type ListedServer = ServerRecord & {
	readonly node: string;
};

function formatNames(names: readonly string[]): string {
	const more = names.length - maxNamesShown;
	return `${names.slice(0, maxNamesShown).join(', ')}${more > 0 ? ` and ${more} more` : ''}`;
}

function formatPart(verb: string, names: ItemNames): readonly string[] {
	return itemKinds
		.filter(kind => names[kind].length > 0)
		.map(kind => `${verb} ${kind} ${formatNames(names[kind])}`);
}

/** What a note changes, by name. */
export function formatChanges({added, changed, withdrawn}: Pick<AuditEntry, 'added' | 'changed' | 'withdrawn'>): string {
	const parts = [...formatPart('added', added), ...formatPart('changed', changed), ...formatPart('withdrawn', withdrawn)];
	return parts.length > 0 ? parts.join('; ') : 'nothing';
}

/** Reports that a note was accepted. */
export function formatAccepted(entry: AuditEntry): string {
	return `release ${entry.number} is note ${entry.note}: ${formatChanges(entry)}`;
}

/** Reports that a note is valid. */
export function formatChecked(summary: NoteSummary): string {
	return `note ${summary.note} is valid on release ${summary.base}; nothing was written: ${formatChanges(summary)}`;
}

/** Reports the release in force on each node. */
export function formatStatus({release, nodes, lagging}: FleetStatus): string {
	const rows = nodes.map(node => [node.node, node.state, node.status, String(node.release)]);
	const summary = `release ${release} in force on ${nodes.length - lagging.length} of ${nodes.length} nodes`;
	return `${summary}${lagging.length > 0 ? `; lagging: ${lagging.join(', ')}` : ''}\n${formatTable(['NODE', 'STATE', 'MEMBER', 'RELEASE'], rows)}`;
}

/** Reports the audit trail. */
export function formatTrail({source, entries}: AuditTrail): string {
	const rows = entries.map(entry => [
		String(entry.number), new Date(entry.acceptedAt).toISOString(), entry.operator, entry.note, String(entry.base), formatChanges(entry),
	]);
	const table = formatTable(['RELEASE', 'ACCEPTED', 'OPERATOR', 'NOTE', 'BASE', 'CHANGES'], rows);
	return source === 'platform' ? table : `the platform does not answer; this is what the node keeps\n${table}`;
}

/** Reports the nodes. */
export function formatMembers(members: readonly Member[]): string {
	return formatTable(['NODE', 'REGION', 'FAILURE DOMAIN', 'STATE', 'MEMBER', 'RELEASE', 'SERVERS', 'ADMIN'], members.map(({record, status}) => [
		record.id,
		record.placement.region,
		record.placement.failureDomain,
		record.state,
		status,
		String(record.release),
		String(record.servers.length),
		formatAddress(record.adminAddress),
	]));
}

/** Reports the backend servers. */
export function formatServers(servers: readonly ListedServer[]): string {
	return formatTable(['SERVER', 'SERVICE', 'NODE', 'STATE', 'SLOTS'], servers.map(({id, service, node, state, slots}) => [
		id, service, node, state, String(slots),
	]));
}
