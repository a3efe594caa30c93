import {expect} from 'chai';
import {CallTracker} from '../../backend/call-tracker.js';

describe('call tracker', () => {
	let tracker: CallTracker;

	beforeEach(() => {
		tracker = new CallTracker();
		tracker.recordStart('parent');
	});

	it('knows that a request waits for a call until the call ends', () => {
		expect(tracker.isCalling('parent')).to.equal(true);
		tracker.recordStart('parent');
		tracker.recordEnd('parent', true);
		expect(tracker.isCalling('parent')).to.equal(true);
		tracker.recordEnd('parent', true);
		expect(tracker.isCalling('parent')).to.equal(false);
	});

	it('remembers a failed call whatever the later ones do', () => {
		tracker.recordEnd('parent', false);
		tracker.recordStart('parent');
		tracker.recordEnd('parent', true);
		expect(tracker.hasFailedCall('parent')).to.equal(true);
	});

	it('keeps requests apart and forgets the ones that have ended', () => {
		tracker.recordEnd('parent', false);
		expect(tracker.hasFailedCall('other')).to.equal(false);
		tracker.forget('parent');
		expect(tracker.hasFailedCall('parent')).to.equal(false);
	});

	it('keeps a bounded number of requests', () => {
		Array.from({length: 2000}, (_, index) => `p${index}`).forEach(id => {
			tracker.recordStart(id);
		});
		expect(tracker.isCalling('parent')).to.equal(false);
		expect(tracker.isCalling('p1999')).to.equal(true);
	});
});
