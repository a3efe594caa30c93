/**
 * Types shared by every package: nodes, backend servers, requests and the exchange that carries one request.
 */
import {type Failure} from './failure.js';

/** A TCP or UDP address with an IP address as its host. */
export type Address = {
	readonly host: string;
	readonly port: number;
};

/** Location of a node. Names of failure domains are unique across regions. */
export type Placement = {
	readonly region: string;
	readonly failureDomain: string;
};

/**
 * State of a backend server as its owning node publishes it.
 *
 * - `ready`: takes work.
 * - `warming`: takes a growing share of work after it was started or reinstated.
 * - `probation`: was ejected and now gets one slot of repeatable requests as a trial.
 * - `ejected`: judged failing.
 * - `leaving`: finishes the requests it has and takes no new ones.
 */
export type ServerState = 'ready' | 'warming' | 'probation' | 'ejected' | 'leaving';

/** One backend server in the record of the node that is responsible for it. */
export type ServerRecord = {
	readonly id: string;
	readonly service: string;
	readonly slots: number;
	readonly state: ServerState;
	/** Increases each time the backend server picks another node; among conflicting records the highest generation wins. */
	readonly generation: number;
	/** Failure score, from 0 (no sign of failure) upwards; ranks ejected servers when the floor keeps some of them in use. */
	readonly badness: number;
};

/** A request that crashed backend servers. */
export type PoisonMark = {
	/** Hash that identifies the request. */
	readonly fingerprint: string;
	/** Backend servers that crashed while they ran the request. */
	readonly serverIds: readonly string[];
	/** End of the mark, in Unix milliseconds. */
	readonly expiresAt: number;
};

/** Record that a node publishes about itself. Only that node writes it. */
export type NodeRecord = {
	readonly id: string;
	/** Start time of the process in Unix milliseconds; higher after each restart. */
	readonly incarnation: number;
	/** Number of changes to the record within one incarnation. */
	readonly sequence: number;
	readonly placement: Placement;
	readonly linkAddress: Address;
	readonly gossipAddress: Address;
	readonly ingressAddress: Address;
	readonly adminAddress: Address;
	readonly state: 'serving' | 'stopping';
	/** Number of the release in force on the node; 0 before the first release. */
	readonly release: number;
	/** Era of the platform's store, which rises when the store is restored; absent until the node has heard of one. */
	readonly storeEra?: number;
	readonly servers: readonly ServerRecord[];
	/** Requests that crashed backend servers of this node. */
	readonly poison: readonly PoisonMark[];
};

/** Identifies one process of a node, from its start to its end. */
export type NodeIdentity = {
	readonly id: string;
	readonly incarnation: number;
};

/** Header names and values in alternation, in the order received. */
export type RawHeaders = readonly string[];

/**
 * Component of a node that a request is sent to. `knownLimit` is the rate that the backend server last named to the sender, in
 * requests a second, for an egress that has not heard of it.
 */
export type RequestTarget
	= | {readonly kind: 'egress'; readonly serverId: string; readonly knownLimit?: number}
		| {readonly kind: 'sequencer'};

/** Why a backend server sent a request: on behalf of a request that it runs, or on behalf of a repeated one. */
export type RequestCause = 'call' | 'repeatedCall';

/** The head of a request as it travels between nodes. */
export type RequestHead = {
	readonly requestId: string;
	readonly target: RequestTarget;
	readonly service: string;
	readonly method: string;
	/** Path and query as sent to the backend server. */
	readonly path: string;
	readonly headers: RawHeaders;
	/** Time that was left until the deadline when the head was sent, in milliseconds. */
	readonly remainingMs: number;
	/** True when running the request twice does no harm. */
	readonly isRepeatable: boolean;
	readonly idempotencyKey?: string;
	/** Organisation that the caller belongs to; empty if the caller holds no terms. */
	readonly organisation: string;
	/** Hash of method, service, path and the beginning of the body; identifies poison requests. */
	readonly fingerprint?: string;
	/** Name of the route that matched the request. */
	readonly route?: string;
	/** Priority of the request, 0 being the most urgent; a request without a priority ranks last. */
	readonly priority?: number;
	/** Most backend servers that the request may be sent to. */
	readonly maxAttempts?: number;
	/** Latency objective: time within which the route's answers are worth most to callers, in milliseconds. */
	readonly objectiveMs?: number;
	/** Number of backend servers that the request was, or may have been, sent to before. */
	readonly earlierAttempts?: number;
	/** Service that runs on the host from which the request originated. */
	readonly callerService?: string;
	/** Longest wait for a slot that the sender accepts before it prefers another backend server, in milliseconds. */
	readonly patienceMs?: number;
	/** True if every other backend server has refused the request, which is then refused only for lack of time or capacity. */
	readonly isLastResort?: boolean;
	/** Absent from requests that callers sent. */
	readonly cause?: RequestCause;
};

/** Load of a backend server as its egress last measured it; sent along with answers. */
export type LoadHint = {
	readonly serverId: string;
	readonly freeSlots: number;
	readonly queued: number;
	/** Time that a request arriving now would wait for a slot, in milliseconds. */
	readonly waitMs?: number;
	/** Time that the backend server takes for a request, in milliseconds. */
	readonly workMs?: number;
	/** True while the egress sends only trial requests to the backend server. */
	readonly isUnwell?: boolean;
	/** True while the backend server rejects a large part of its requests without running them. */
	readonly isShedding?: boolean;
	/** Rate that the egress holds because the backend server names one, in requests a second. */
	readonly limitPerSecond?: number;
};

/** The head of an answer as it travels between nodes. */
export type ResponseHead = {
	readonly status: number;
	readonly headers: RawHeaders;
	/** True if only the close of its connection ended the answer, which does not prove that the answer is complete. */
	readonly isUnframed?: boolean;
	readonly load?: LoadHint;
};

/** Receives the answer or the failure of one request. The last call is exactly one of `handleEnd` and `handleFailure`. */
export type ExchangeHandler = {
	readonly handleHead: (head: ResponseHead) => void;
	readonly handleData: (chunk: Uint8Array) => void;
	readonly handleEnd: () => void;
	readonly handleFailure: (failure: Failure) => void;
	/** Called when the other side has consumed that many more bytes of the request's body. */
	readonly handleCredit: (bytes: number) => void;
	/**
	 * Called when the other side has reserved a place for the request and will run it once its body has ended. Not every
	 * carrier calls it.
	 */
	readonly handleAccepted?: () => void;
};

/**
 * One request in progress, as seen by its sender.
 *
 * Both directions start with `exchangeWindowBytes` of credit. The sender never writes more than its credit; the
 * receiver grants more as it consumes data.
 */
export abstract class Exchange {
	abstract writeBody(chunk: Uint8Array): void;
	abstract endBody(): void;
	/** Allows the other side to send that many more bytes of the answer's body. */
	abstract grantCredit(bytes: number): void;
	/** Ends the exchange early; the handler is not called again. */
	abstract cancel(): void;
}

/** Forwards requests: a link to another node, the node's own egress or the sequencer. */
export abstract class Carrier {
	abstract openExchange(head: RequestHead, handler: ExchangeHandler): Exchange;
}
