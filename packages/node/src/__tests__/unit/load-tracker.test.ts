import {expect} from 'chai';
import {createFailure} from '@limpetbarrow/core';
import {LoadTracker} from '../../routing/load-tracker.js';

describe('load hints of a backend server', () => {
	const hint = {serverId: 'server-1', freeSlots: 0, queued: 5};

	// Guards against the short wait of urgent requests that sends all others to a full backend server.
	it('tell requests of each rank their own wait', () => {
		const tracker = new LoadTracker();
		tracker.recordRefusal('server-1', createFailure('queueDeadline', 'full', 900), 3005);
		tracker.recordHint({...hint, waitMs: 100}, 1001);
		expect([tracker.getHint('server-1', 3005)?.waitMs, tracker.getHint('server-1', 1001)?.waitMs].map(waitMs => Math.round((waitMs ?? 0) / 100))).to.deep.equal([9, 1]);
	});

	it('are the latest of any rank where there is none for the own rank, and where requests have no rank', () => {
		const tracker = new LoadTracker();
		tracker.recordHint({...hint, waitMs: 100}, 1001);
		tracker.recordHint({...hint, waitMs: 500});
		expect([tracker.getHint('server-1', 7), tracker.getHint('server-1')].map(found => Math.round((found?.waitMs ?? 0) / 100))).to.deep.equal([5, 5]);
	});
});
