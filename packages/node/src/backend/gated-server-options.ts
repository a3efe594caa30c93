/** What a gated server needs of the node that it is in. */
import {type Failure, type RequestHead} from '@limpetbarrow/core';
import {type RetryPolicy} from '@limpetbarrow/choose';
import {type WorkOutcome} from '@limpetbarrow/detect';
import {type ExcessBytes} from './connection-requests.js';
import {type EndEvidence} from './end-evidence.js';
import {type ServerStateHandler} from './server-outcomes.js';
import {type ReportLimit} from './server-limit.js';
import {type ServerProtocol} from './server-protocol.js';

/** Dependencies of a gated server. */
export type GatedServerOptions = ServerStateHandler & {
	readonly protocol: ServerProtocol;
	/** Budget for retries to this backend server. */
	readonly retries: RetryPolicy;
	/** Called when a response shows that another backend server runs at the address. */
	readonly handleReplaced: () => void;
	/** Called after each exchange with the backend server that has an outcome. */
	readonly reportExchange: (head: RequestHead, outcome: WorkOutcome, report: ExchangeReport) => void;
	readonly reportLimit: ReportLimit;
	/** Called when a response says that the backend server leaves. */
	readonly handleLeaving: () => void;
	/** Called when the backend server sent bytes beyond the end of a response. */
	readonly reportExcess: (excess: ExcessBytes) => void;
	/** Called with what was found at the end of each response without a length. */
	readonly reportEnd: (requestId: string, evidence: EndEvidence) => void;
	/** Called with each request that was refused here or failed at the backend server. */
	readonly reportFailure: (head: RequestHead, failure: Failure) => void;
};

/** What the log says of an exchange with the backend server besides its outcome. */
export type ExchangeReport = {
	/** Probability, after this exchange, that the backend server is failing. */
	readonly sickness: number;
	/** True if it was started before more urgent requests because it would have been too late behind them. */
	readonly isEarly: boolean;
};
