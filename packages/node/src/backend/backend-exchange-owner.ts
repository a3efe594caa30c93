/** The object that manages the backend server of an exchange. */
import {type Failure, type LoadHint} from '@limpetbarrow/core';
import {type WorkOutcome} from '@limpetbarrow/detect';
import {type BackendExchange} from './backend-exchange.js';
import {type ExcessBytes} from './connection-requests.js';
import {type EndEvidence} from './end-evidence.js';
import {type NamedLimit} from './server-protocol.js';

/** Callbacks through which an exchange reports to the object that manages its backend server. */
export type BackendExchangeOwner = {
	/** Current load of the backend server, sent with the response head. */
	readonly getLoad: () => LoadHint;
	/** Called when a request body that must be collected in full before the exchange starts has arrived. */
	readonly handleBodyCollected: (exchange: BackendExchange) => void;
	/** Called when the response has ended, before its end is judged: the backend server has a slot free. */
	readonly handleServerDone: () => void;
	/**
	 * Finds out whether the backend server's process outlived the end of a response without a length, where nothing else
	 * tells a complete response from a truncated one.
	 */
	readonly judgeEnd: () => Promise<EndEvidence>;
	/** Called with what `judgeEnd` found for the response to a request. */
	readonly reportEnd?: (requestId: string, evidence: EndEvidence) => void;
	/** Called when the request body ends before the exchange is started. */
	readonly handleBodyEnd?: (exchange: BackendExchange) => void;
	/** Called when the exchange is cancelled before it was started. */
	readonly handleCancelled: (exchange: BackendExchange) => void;
	/** Called with the limit that the response names; `perSecond` is undefined if it names none. */
	readonly handleLimit?: (limit: NamedLimit) => void;
	/** Called when the response says that the backend server leaves. */
	readonly handleLeaving?: () => void;
	/** Called when the backend server sent bytes beyond the end of the response. */
	readonly handleExcess?: (excess: ExcessBytes) => void;
	/** Called when a started exchange ends; without an outcome when the end says nothing about the backend server's health. */
	readonly handleFinished: (outcome: WorkOutcome | undefined, failure: Failure | undefined) => void;
};
