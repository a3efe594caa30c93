import {expect} from 'chai';
import {install, type Clock} from '@sinonjs/fake-timers';
import {RecordingLogger} from '../host-egress-fixture.js';
import {TimerDelay} from '../../timer-delay.js';

describe('the delay of a periodic timer', () => {
	let clock: Clock;
	beforeEach(() => {
		clock = install({toFake: ['performance']});
	});
	afterEach(() => {
		clock.uninstall();
	});

	it('is logged when a run is late, and not for the runs in time after it', () => {
		const logger = new RecordingLogger();
		const delay = new TimerDelay(500, logger);
		[500, 590, 740, 500].forEach(ms => {
			clock.tick(ms);
			delay.recordRun();
		});
		expect(logger.lines).to.deep.equal([['processDelayed', {ms: 240}]]);
	});
});
