/** Publishes the release in force, unless other nodes have told of it already. */
import {type Logger} from '@limpetbarrow/core';
import {type MemberTable} from '@limpetbarrow/members';
import {type ReleaseState} from '@limpetbarrow/releases';

/** What publishing works with. */
export type ReleasePublishingOptions = {
	readonly table: MemberTable;
	readonly releases: ReleaseState;
	readonly logger: Logger;
	/** Random numbers from 0 to below 1. */
	readonly pickRandom?: () => number;
};

/** Longest wait before a node tells of a new release, in milliseconds. */
const maxDelayMs = 600;

/**
 * Every node watches the releases by itself, so a few that tell of a new one are enough for those whose watch is cut
 * off. Each waits for a random moment and keeps quiet when another has told by then: the messages of a change do not
 * grow with the fleet. Returns the function that undoes it.
 */
export function registerReleasePublishing({table, releases, logger, pickRandom = Math.random}: ReleasePublishingOptions): () => void {
	let timer: NodeJS.Timeout | undefined;
	const publish = (): void => {
		const release = releases.getNumber();
		const isTold = table.listLive().some(({record}) => record.id !== table.self.id && record.release >= release);
		if (!isTold) {
			table.updateSelf(() => ({release}));
		}
	};

	const unregister = releases.store.registerListener(({after}) => {
		logger.log('releaseInForce', {release: after.configuration.release, routes: after.configuration.routes.size});
		clearTimeout(timer);
		timer = setTimeout(publish, pickRandom() * maxDelayMs);
	});
	return () => {
		clearTimeout(timer);
		unregister();
	};
}
