/** Keeps this node's record up to date with the store's era and the release in force. */
import {type LogFields, type Logger} from '@limpetbarrow/core';
import {type MemberTable} from '@limpetbarrow/members';
import {type ObjectStore} from '@limpetbarrow/object-store';
import {type ReleaseState} from '@limpetbarrow/releases';

/** Largest number of log lines about entries of one configuration that can't be read. */
const maxSkippedLogLines = 20;

/** Publishes each era of the store that becomes known. */
export function registerEraUpdates(table: MemberTable, store: ObjectStore): void {
	const publishEra = (era: number): void => {
		table.updateSelf(() => ({storeEra: era}));
	};

	store.eraChanges.registerListener(({era}) => {
		publishEra(era);
	});
	const era = store.getEra();
	if (era !== undefined) {
		publishEra(era);
	}
}

/** Publishes and logs each release that comes into force, with what this node knew before. */
export function registerReleaseUpdates(table: MemberTable, releases: ReleaseState, logger: Logger, getKnowledge: () => LogFields): void {
	releases.store.registerListener(({before, after}) => {
		const {release, routes, skipped = []} = after.configuration;
		logger.log('releaseInForce', {
			...getKnowledge(),
			release, previous: before.configuration.release, routes: routes.size, source: after.source ?? '',
		});
		skipped.slice(0, maxSkippedLogLines).forEach(detail => {
			logger.log('releasePartSkipped', {release, detail});
		});
		table.updateSelf(() => ({release: after.configuration.release}));
	});
}
