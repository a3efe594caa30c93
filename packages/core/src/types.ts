/**
 * Types shared by every package: nodes, backend servers, requests and the exchange that carries one request.
 */
import {type Failure} from './failure.js';

/** A TCP or UDP address by IP number. */
export type Address = {
	readonly host: string;
	readonly port: number;
};

/** Where a node runs. Failure domain names are unique across regions. */
export type Placement = {
	readonly region: string;
	readonly failureDomain: string;
};

/**
 * State of a backend server as its owning node publishes it.
 *
 * - `ready`: takes work.
 * - `warming`: takes a growing share of work after a start or a return.
 * - `probation`: ejected before, now tried with one slot of repeatable work.
 * - `ejected`: judged failing.
 * - `leaving`: finishes what it has and takes no new work.
 */
export type ServerState = 'ready' | 'warming' | 'probation' | 'ejected' | 'leaving';

/** One backend server in the record of the node that guards it. */
export type ServerRecord = {
	readonly id: string;
	readonly service: string;
	readonly slots: number;
	readonly state: ServerState;
	/** Grows each time the backend server picks another node; the higher one wins. */
	readonly generation: number;
	/** Evidence of failing, 0 (none) upwards; orders ejected servers when the floor keeps some in use. */
	readonly badness: number;
};

/** A request that crashed backend servers. */
export type PoisonMark = {
	/** Hash that names the request. */
	readonly fingerprint: string;
	/** Backend servers that crashed while they ran it. */
	readonly serverIds: readonly string[];
	/** Unix milliseconds. */
	readonly expiresAt: number;
};

/** What one node publishes about itself. Only the node itself writes it. */
export type NodeRecord = {
	readonly id: string;
	/** Start time of the process in Unix milliseconds; a restart has a higher one. */
	readonly incarnation: number;
	/** Counts the changes of the record within one incarnation. */
	readonly sequence: number;
	readonly placement: Placement;
	readonly linkAddress: Address;
	readonly gossipAddress: Address;
	readonly ingressAddress: Address;
	readonly adminAddress: Address;
	readonly state: 'serving' | 'stopping';
	/** Number of the release in force on the node; 0 before the first. */
	readonly release: number;
	readonly servers: readonly ServerRecord[];
	/** Requests that crashed backend servers of this node. */
	readonly poison: readonly PoisonMark[];
};

/** Identity of one run of a node. */
export type NodeIdentity = {
	readonly id: string;
	readonly incarnation: number;
};

/** Header names and values alternating, in the order received. */
export type RawHeaders = readonly string[];

/** The part of a node that a request is sent to. */
export type RequestTarget
	= | {readonly kind: 'egress'; readonly serverId: string}
		| {readonly kind: 'sequencer'};

/** Why a request came, where a backend server sent it: for a request that it runs, or for one that was repeated. */
export type RequestCause = 'call' | 'repeatedCall';

/** The head of a request as it travels between nodes. */
export type RequestHead = {
	readonly requestId: string;
	readonly target: RequestTarget;
	readonly service: string;
	readonly method: string;
	/** Path with query, as sent to the backend server. */
	readonly path: string;
	readonly headers: RawHeaders;
	/** Time left until the deadline, in milliseconds, when the head was sent. */
	readonly remainingMs: number;
	/** True when running the request twice does no harm. */
	readonly isRepeatable: boolean;
	readonly idempotencyKey?: string;
	/** Organisation the caller belongs to; empty when the caller holds no terms. */
	readonly organisation: string;
	/** Hash of method, service, path and body prefix; names a poison request. */
	readonly fingerprint?: string;
	/** Name of the route that the request took. */
	readonly route?: string;
	/** Rank of the request, 0 the most urgent; a request without one ranks last. */
	readonly priority?: number;
	/** Backend servers that may be handed the request, at most. */
	readonly maxAttempts?: number;
	/** Time in which the route's answers are worth most to callers, in milliseconds. */
	readonly objectiveMs?: number;
	/** Backend servers that were, or may have been, handed the request before. */
	readonly earlierAttempts?: number;
	/** Service that runs on the host where the request began. */
	readonly callerService?: string;
	/** Longest wait for a slot that the sender takes before it would rather go elsewhere, in milliseconds. */
	readonly patienceMs?: number;
	/** True when every other backend server has refused: only lack of time or room is a reason to refuse it here. */
	readonly isLastResort?: boolean;
	/** Absent on requests of callers. */
	readonly cause?: RequestCause;
};

/** Load of a backend server as its egress last saw it, carried on answers. */
export type LoadHint = {
	readonly serverId: string;
	readonly freeSlots: number;
	readonly queued: number;
	/** Time until a request that came now would get a slot, in milliseconds. */
	readonly waitMs?: number;
	/** Time that a request takes here, in milliseconds. */
	readonly workMs?: number;
	/** True while the egress sends only trials to the backend server. */
	readonly isUnwell?: boolean;
	/** True while the backend server rejects a large part of what it is sent, without running it. */
	readonly isShedding?: boolean;
};

/** The head of an answer as it travels between nodes. */
export type ResponseHead = {
	readonly status: number;
	readonly headers: RawHeaders;
	/** True when only the end of its connection ended the answer, which proves nothing of its being whole. */
	readonly isUnframed?: boolean;
	readonly load?: LoadHint;
};

/** Receives what becomes of one request. Exactly one of `handleEnd` and `handleFailure` is called, last. */
export type ExchangeHandler = {
	readonly handleHead: (head: ResponseHead) => void;
	readonly handleData: (chunk: Uint8Array) => void;
	readonly handleEnd: () => void;
	readonly handleFailure: (failure: Failure) => void;
	/** The other side has taken that many more bytes of the request's body. */
	readonly handleCredit: (bytes: number) => void;
	/** The other side holds a place for the request and runs it once its body has ended. Not every carrier says so. */
	readonly handleAccepted?: () => void;
};

/**
 * One request under way, seen from the side that sent it.
 *
 * Both directions start with `exchangeWindowBytes` of credit. The sender never writes more than its credit; the
 * receiver grants more as it consumes.
 */
export abstract class Exchange {
	abstract writeBody(chunk: Uint8Array): void;
	abstract endBody(): void;
	/** Lets the other side send that many more bytes of the answer's body. */
	abstract grantCredit(bytes: number): void;
	/** Ends the exchange; the handler is not called again. */
	abstract cancel(): void;
}

/** Whatever takes a request onward: a link to another node, the node's own egress, the sequencer. */
export abstract class Carrier {
	abstract openExchange(head: RequestHead, handler: ExchangeHandler): Exchange;
}
