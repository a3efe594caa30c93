/** What a home does for other nodes: runs keyed requests. */
import {
	Carrier, renewHeader, type Exchange, type ExchangeHandler, type RequestHead,
} from '@limpetbarrow/core';

/** Marks the answers of a stopping home, so that its callers renew their terms elsewhere. */
export class HomeCarrier extends Carrier {
	readonly #sequencer: Carrier;
	readonly #isStopping: () => boolean;

	constructor(sequencer: Carrier, isStopping: () => boolean) {
		super();
		this.#sequencer = sequencer;
		this.#isStopping = isStopping;
	}

	override openExchange(head: RequestHead, handler: ExchangeHandler): Exchange {
		return this.#sequencer.openExchange(head, {
			...handler,
			handleHead: response => {
				handler.handleHead(this.#isStopping() ? {...response, headers: [...response.headers, renewHeader, '1']} : response);
			},
		});
	}
}
