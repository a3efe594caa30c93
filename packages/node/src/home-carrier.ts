/** What a home does for other nodes: runs keyed requests and keeps the accounts of callers' use. */
import {
	Carrier, renewHeader, type Exchange, type ExchangeHandler, type RequestHead,
} from '@limpetbarrow/core';
import {UsageAccounts, type SigningKey} from '@limpetbarrow/limits';
import {answerUseReport, isUseReport} from './use-reports.js';

/** Marks the answers of a stopping home, so that its callers renew their terms elsewhere. */
export class HomeCarrier extends Carrier {
	readonly #sequencer: Carrier;
	readonly #isStopping: () => boolean;
	readonly #listKeys: () => readonly SigningKey[];
	readonly #accounts = new UsageAccounts();

	constructor(sequencer: Carrier, isStopping: () => boolean, listKeys: () => readonly SigningKey[]) {
		super();
		this.#sequencer = sequencer;
		this.#isStopping = isStopping;
		this.#listKeys = listKeys;
	}

	override openExchange(head: RequestHead, handler: ExchangeHandler): Exchange {
		if (isUseReport(head)) {
			return answerUseReport(head, handler, this.#accounts, this.#listKeys());
		}

		return this.#sequencer.openExchange(head, {
			...handler,
			handleHead: response => {
				handler.handleHead(this.#isStopping() ? {...response, headers: [...response.headers, renewHeader, '1']} : response);
			},
		});
	}
}
