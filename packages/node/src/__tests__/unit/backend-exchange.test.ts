import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {type Dispatcher} from 'undici';
import {type RequestHead} from '@limpetbarrow/core';
import {BackendExchange} from '../../backend/backend-exchange.js';

const head: RequestHead = {
	requestId: 'r', target: {kind: 'egress', serverId: 'server-1'}, service: 'desk', method: 'GET', path: '/', headers: [], remainingMs: 2000, isRepeatable: true, organisation: '',
};

/** Begins each request and never answers it. */
const silentPool = {
	dispatch(_options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
		handler.onRequestStart?.({abort: () => undefined} as unknown as Dispatcher.DispatchController, undefined);
		return true;
	},
} as unknown as Dispatcher;

const handleNothing = (): undefined => undefined;

describe('the cancellation of a request at a backend server', () => {
	let clock: Clock;

	beforeEach(() => {
		clock = install({toFake: ['performance', 'setTimeout', 'clearTimeout']});
	});

	afterEach(() => {
		clock.uninstall();
	});

	/** Returns how the run is recorded when it is cancelled after that time. */
	function cancelAfter(ms: number, remainingMs = head.remainingMs): string {
		const recorded: string[] = [];
		const exchange = new BackendExchange({...head, remainingMs}, {
			handleHead: handleNothing, handleData: handleNothing, handleCredit: handleNothing, handleEnd: handleNothing, handleFailure: handleNothing,
		}, {
			getLoad: () => ({serverId: 'server-1', freeSlots: 1, queued: 0}),
			handleBodyCollected: handleNothing,
			handleServerDone() {
				// No response of these tests ends with its connection.
			},
			judgeEnd: async () => ({isProven: true, reason: 'connectionsOpen'}),
			handleCancelled: handleNothing,
			handleFinished(outcome, failure) {
				recorded.push(`${outcome?.kind ?? ''} ${failure?.name ?? ''}`.trim());
			},
		});
		exchange.endBody();
		exchange.start(silentPool);
		clock.tick(ms);
		exchange.cancel();
		return recorded.join(', ');
	}

	// Guards against dead connections that are kept, as the timeout on one of them is taken for a caller who left.
	it('stands for its deadline when it comes shortly before that, as over a link', () => {
		expect(cancelAfter(1994)).to.equal('timedOut serverTimeout');
		expect(cancelAfter(80, 100)).to.equal('timedOut serverTimeout');
	});

	it('says nothing about the backend server when it comes earlier', () => {
		expect(cancelAfter(1900)).to.equal('cancelled');
		expect(cancelAfter(70, 100)).to.equal('cancelled');
	});
});
