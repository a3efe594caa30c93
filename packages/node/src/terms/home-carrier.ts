/** The home node's side for requests of other nodes: runs keyed requests and keeps the usage accounts of callers. */
import {
	Carrier, renewHeader, type Exchange, type ExchangeHandler, type RequestHead,
} from '@limpetbarrow/core';
import {UsageAccounts, type SigningKey} from '@limpetbarrow/limits';
import {answerUseReport, isUseReport} from './use-reports.js';

/** Adds the renew header to responses while the home node is stopping, so that callers renew their terms on another node. */
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
