/**
 * The part of a backend server's time that each priority may use before more urgent requests that wait.
 *
 * By strict priorities alone, the requests of the last one are lost wherever the queue doesn't empty, however short and rare
 * they are. With an allowance, short ones are served at little cost to the more urgent, and many long ones get no more than
 * their part.
 */
import {maxAllowanceDebtMs, allowanceShare} from './constants.js';

/** Most priorities with a debt; beyond it, the requests of further ones are granted nothing. */
const maxPriorities = 64;

type Grant = {
	readonly priority: number;
	/** Time that the request is charged, in milliseconds. */
	readonly workMs: number;
};

/**
 * Account of the work that was started before more urgent requests. Each priority owes the work that was granted to it, until
 * other requests have taken a multiple of that time. Nothing is saved up.
 */
export class PriorityAllowance<Key> {
	readonly #debtsMs = new Map<number, number>();
	readonly #grants = new Map<Key, Grant>();

	/** True when a request of the priority may go before more urgent ones. */
	hasRoom(priority: number): boolean {
		return (this.#debtsMs.get(priority) ?? 0) < maxAllowanceDebtMs && (this.#debtsMs.has(priority) || this.#debtsMs.size < maxPriorities);
	}

	/** Charges the priority with the request's expected work, in milliseconds, until `settle`. */
	grant(key: Key, grant: Grant): void {
		this.#grants.set(key, grant);
		this.#addDebt(grant.priority, grant.workMs);
	}

	/** True from the grant of a request until it is settled. */
	isGranted(key: Key): boolean {
		return this.#grants.has(key);
	}

	/** Replaces the expected work of a request, if it was granted, by the time that it has used, in milliseconds; 0 if it has not run. */
	settle(key: Key, usedMs: number): void {
		const grant = this.#grants.get(key);
		if (grant) {
			this.#grants.delete(key);
			this.#addDebt(grant.priority, usedMs - grant.workMs);
		}
	}

	/** Records the start of a request with its expected work, in milliseconds. Requests without a grant pay off the debts. */
	recordStart(key: Key, workMs: number): void {
		if (!this.isGranted(key)) {
			const paidMs = workMs * allowanceShare / Math.max(1, this.#debtsMs.size);
			[...this.#debtsMs.keys()].forEach(priority => {
				this.#addDebt(priority, -paidMs);
			});
		}
	}

	#addDebt(priority: number, amountMs: number): void {
		const debtMs = (this.#debtsMs.get(priority) ?? 0) + amountMs;
		if (debtMs > 0) {
			this.#debtsMs.set(priority, debtMs);
		} else {
			this.#debtsMs.delete(priority);
		}
	}
}
