/** A relay of TCP connections to one address. Its open connections can go silent for good, while new ones work. */
import {connect, createServer} from 'node:net';

export class Relay {
	#pairs = new Set();
	#silenced = new Set();
	#server;

	constructor({host, port}) {
		this.#server = createServer(near => {
			const far = connect({host, port});
			const pair = {near, far};
			this.#pairs.add(pair);
			this.#forward(pair, near, far);
			this.#forward(pair, far, near);
		});
	}

	async listen(port, host) {
		await new Promise(resolve => {
			this.#server.listen(port, host, resolve);
		});
	}

	/** Silences the connections open now: they stay open and carry nothing in either direction. Returns their number. */
	silence() {
		[...this.#pairs].forEach(pair => {
			this.#silenced.add(pair);
		});
		return this.#pairs.size;
	}

	close() {
		this.#server.close();
		[...this.#pairs].forEach(({near, far}) => {
			near.destroy();
			far.destroy();
		});
	}

	#forward(pair, from, to) {
		from.setNoDelay(true);
		from.on('data', chunk => {
			if (!this.#silenced.has(pair)) {
				to.write(chunk);
			}
		});
		from.on('error', () => {
			from.destroy();
		});
		from.on('close', () => {
			if (!this.#silenced.has(pair)) {
				this.#pairs.delete(pair);
				to.destroy();
			}
		});
	}
}
