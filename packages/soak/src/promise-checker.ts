/** Checks what must always hold, from what callers sent and got and what backend servers ran. */
import {NamedStateChecker, type NamedState} from './named-state-checker.js';

/** A request as its caller sent it. */
export type SentRequest = {
	readonly id: string;
	readonly method: string;
	readonly path: string;
	readonly body: string;
	readonly isRepeatable: boolean;
	/** Service of the host on which it began. */
	readonly callerService: string;
	/** Services that some configuration sent so far lets run it. */
	readonly allowedServices: readonly string[];
	/** Index of the host on which it began, and the monotonic milliseconds at which it was sent. */
	readonly host?: number;
	readonly sentAt?: number;
};

/** What the caller got; status 0 for a connection that ended without an answer. */
export type ReceivedAnswer = {
	readonly id: string;
	readonly status: number;
	readonly body: string;
	readonly isSigned: boolean;
	readonly detail: string;
	/** What its backend server named of itself. */
	readonly named?: NamedState;
};

/** One run of a request by a backend server. */
export type ServerRun = {
	readonly id: string;
	readonly serverId: string;
	readonly service: string;
	readonly method: string;
	readonly path: string;
	readonly body: string;
	readonly callerService: string;
	readonly expectedServer: string;
	/** Monotonic milliseconds. */
	readonly at: number;
};

/** A promise that was broken. */
export type Violation = {
	readonly promise: string;
	readonly id: string;
	readonly detail: string;
};

/** Counts of a run, for its report. */
export type SoakCounts = {
	readonly sent: number;
	readonly whole: number;
	readonly refused: number;
	readonly failed: number;
	readonly unknown: number;
	readonly runTwice: number;
	readonly refusedButRun: number;
};

/** Statuses that promise that a request has not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const firstRedirect = 300;

/** Repetitions of the id in a body: of one that is held back whole on its way, and of one that is streamed. */
const smallBodyParts = 20;
const largeBodyParts = 12_000;

/** The body of the answer to a request: long enough that a part of it shows, and for one request in ten larger than a window. */
export function formatAnswerBody(id: string): string {
	return `${id};`.repeat(isAnswerLarge(id) ? largeBodyParts : smallBodyParts);
}

/** True for the one request in ten whose answer is streamed. */
export function isAnswerLarge(id: string): boolean {
	return id.endsWith('7');
}

/** True for the one request in ten whose answer has no length. */
export function isAnswerUnframed(id: string): boolean {
	return id.endsWith('3');
}

/** True for the requests that a backend server which sends extra answers answers twice, without a length. */
export function isAnsweredTwice(id: string): boolean {
	return /[0247]$/v.test(id);
}

/** The body of an order; that of one in ten is sent in chunks and larger than a window. */
export function formatOrderBody(id: string): string {
	return isOrderLarge(id) ? `pair ${id};`.repeat(largeBodyParts) : `pair ${id}`;
}

/** True for an order that is sent in chunks. */
export function isOrderLarge(id: string): boolean {
	return id.endsWith('5');
}

/** Keeps all that was seen and tells what is broken as soon as it shows. */
export class PromiseChecker {
	/** Limits and departures that backend servers name in their responses. */
	readonly namedStates: NamedStateChecker;
	/** Time in which a leaving backend server may still get what was on its way, in milliseconds. */
	readonly #drainMs: number;
	readonly #sent = new Map<string, SentRequest>();
	readonly #answers = new Map<string, ReceivedAnswer>();
	readonly #runs = new Map<string, readonly ServerRun[]>();
	/** Monotonic times at which backend servers' leaving was acknowledged. */
	readonly #leftAt = new Map<string, number>();
	#violations: readonly Violation[] = [];

	constructor(drainMs: number) {
		this.#drainMs = drainMs;
		this.namedStates = new NamedStateChecker(drainMs);
	}

	recordSent(request: SentRequest): void {
		this.#sent.set(request.id, request);
	}

	recordLeaving(serverId: string, at: number): void {
		this.#leftAt.set(serverId, Math.min(at, this.#leftAt.get(serverId) ?? at));
	}

	recordAnswer(answer: ReceivedAnswer): void {
		this.#answers.set(answer.id, answer);
		const host = this.#sent.get(answer.id)?.host;
		if (answer.named && host !== undefined) {
			this.namedStates.recordHeard(host, answer.named, performance.now());
		}

		const isSuccess = answer.status >= 200 && answer.status < firstRedirect;
		if (isSuccess && !answer.isSigned) {
			this.#add('a success bears the backend server\'s signature', answer.id, `status ${answer.status}`);
		}

		if (isSuccess && answer.body !== formatAnswerBody(answer.id)) {
			this.#add('a success is the whole answer to the own request', answer.id, answer.body.slice(0, 60));
		}

		this.#checkRefusal(answer.id);
	}

	/** Records a request that reaches a backend server, whether that runs it or not. */
	recordArrival(id: string, serverId: string): void {
		const {host, sentAt} = this.#sent.get(id) ?? {};
		if (host === undefined || sentAt === undefined) {
			return;
		}

		const violation = this.namedStates.recordArrival({
			id, serverId, host, sentAt, at: performance.now(),
		});
		if (violation) {
			this.recordViolation(violation);
		}
	}

	recordRun(run: ServerRun): void {
		const runs = [...this.#runs.get(run.id) ?? [], run];
		this.#runs.set(run.id, runs);
		const sent = this.#sent.get(run.id);
		if (!sent) {
			this.#add('nothing runs that nobody sent', run.id, run.path);
			return;
		}

		this.#checkUnchanged(sent, run);
		if (!sent.isRepeatable && runs.length > 1) {
			this.#add('what may not be repeated runs at most once', run.id, runs.map(({serverId}) => serverId).join(' '));
		}

		if (!sent.allowedServices.includes(run.service)) {
			this.#add('a request runs where a configuration lets it', run.id, run.service);
		}

		if (run.at > (this.#leftAt.get(run.serverId) ?? Number.POSITIVE_INFINITY) + this.#drainMs) {
			this.#add('a backend server that leaves gets no new work', run.id, run.serverId);
		}

		this.#checkRefusal(run.id);
	}

	/** Takes a promise of another kind that was seen to be broken. */
	recordViolation(violation: Violation): void {
		this.#violations = [...this.#violations, violation];
	}

	/** True when a backend server has begun to run the request. */
	hasRun(id: string): boolean {
		return this.#runs.has(id);
	}

	listViolations(): readonly Violation[] {
		return this.#violations;
	}

	computeCounts(): SoakCounts {
		const answers = [...this.#answers.values()];
		const countBy = (isCounted: (answer: ReceivedAnswer) => boolean): number => answers.filter(answer => isCounted(answer)).length;
		return {
			sent: this.#sent.size,
			whole: countBy(({status}) => status >= 200 && status < firstRedirect),
			refused: countBy(({status}) => notRunStatuses.has(status)),
			failed: countBy(({status}) => status >= firstRedirect && !notRunStatuses.has(status)),
			unknown: this.#sent.size - countBy(({status}) => status > 0),
			runTwice: [...this.#runs].filter(([id, runs]) => runs.length > 1 && this.#sent.get(id)?.isRepeatable === false).length,
			refusedButRun: answers.filter(({id, status}) => this.#isRefusedButRun(id, status)).length,
		};
	}

	#checkUnchanged(sent: SentRequest, run: ServerRun): void {
		const names = ['method', 'path', 'body', 'callerService'] as const;
		const changed = names.filter(name => sent[name] !== run[name]);
		if (changed.length > 0) {
			this.#add('a request runs as it was sent', run.id, changed.map(name => `${name} ${run[name]}`).join(', '));
		}

		if (run.expectedServer !== run.serverId) {
			this.#add('each send names the backend server that is meant', run.id, run.expectedServer);
		}
	}

	#isRefusedButRun(id: string, status: number): boolean {
		return notRunStatuses.has(status) && this.#sent.get(id)?.isRepeatable === false && this.#runs.has(id);
	}

	#checkRefusal(id: string): void {
		const answer = this.#answers.get(id);
		if (answer && this.#isRefusedButRun(id, answer.status)) {
			this.#add('what was refused as not run never runs', id, `status ${answer.status}`);
		}
	}

	#add(promise: string, id: string, detail: string): void {
		this.recordViolation({promise, id, detail});
	}
}
