/** Formats answers of the admin API as text for terminals. */
import {formatAddress, type ServerRecord} from '@limpetbarrow/core';
import {type Member} from '@limpetbarrow/members';
import {
	type AuditEntry, type AuditTrail, type FleetStatus, type ItemNames, type NoteSummary,
} from '@limpetbarrow/node';
import {itemKinds} from '@limpetbarrow/releases';
import {formatTable} from './format-table.js';

const maxNamesShown = 5;

/** A backend server with the id of the node it is registered with. */
export type ListedServer = ServerRecord & {
	readonly node: string;
};

function formatNames(names: readonly string[]): string {
	const more = names.length - maxNamesShown;
	return `${names.slice(0, maxNamesShown).join(', ')}${more > 0 ? ` and ${more} more` : ''}`;
}

function formatItemChanges(verb: string, names: ItemNames): readonly string[] {
	return itemKinds
		.filter(kind => names[kind].length > 0)
		.map(kind => `${verb} ${kind} ${formatNames(names[kind])}`);
}

/** Lists what a release note changes, by kind and name; at most five names of each. */
export function formatChanges({added, changed, withdrawn}: Pick<AuditEntry, 'added' | 'changed' | 'withdrawn'>): string {
	const parts = [...formatItemChanges('added', added), ...formatItemChanges('changed', changed), ...formatItemChanges('withdrawn', withdrawn)];
	return parts.length > 0 ? parts.join('; ') : 'nothing';
}

/** Formats the confirmation that a release note was accepted. */
export function formatAcceptedNote(entry: AuditEntry): string {
	return `release ${entry.number} is note ${entry.note}: ${formatChanges(entry)}`;
}

/** Formats the confirmation that a release note is valid. */
export function formatCheckedNote(summary: NoteSummary): string {
	return `note ${summary.note} is valid on release ${summary.base}; nothing was written: ${formatChanges(summary)}`;
}

/** Formats the release in force on each node, and which nodes lag. */
export function formatStatus({release, nodes, lagging}: FleetStatus): string {
	const rows = nodes.map(node => [node.node, node.state, node.status, String(node.release)]);
	const summary = `release ${release} in force on ${nodes.length - lagging.length} of ${nodes.length} nodes`;
	return `${summary}${lagging.length > 0 ? `; lagging: ${lagging.join(', ')}` : ''}\n${formatTable(['NODE', 'STATE', 'MEMBER', 'RELEASE'], rows)}`;
}

/** Formats the audit trail, and says so when it comes from the node's copy because the platform does not answer. */
export function formatAuditTrail({source, entries}: AuditTrail): string {
	const rows = entries.map(entry => [
		String(entry.number), new Date(entry.acceptedAt).toISOString(), entry.operator, entry.note, String(entry.base), formatChanges(entry),
	]);
	const table = formatTable(['RELEASE', 'ACCEPTED', 'OPERATOR', 'NOTE', 'BASE', 'CHANGES'], rows);
	return source === 'platform' ? table : `the platform does not answer; this is the node's copy of the audit trail\n${table}`;
}

/** Formats a table of nodes. */
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

/** Formats a table of backend servers. */
export function formatServers(servers: readonly ListedServer[]): string {
	return formatTable(['SERVER', 'SERVICE', 'NODE', 'STATE', 'SLOTS'], servers.map(({id, service, node, state, slots}) => [
		id, service, node, state, String(slots),
	]));
}
