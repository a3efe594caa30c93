/** A TCP relay whose open connections can go silent for good, as the users' pages describe it, while new ones work. */
import {connect, createServer} from 'node:net';

export class Relay {
	#pairs = new Set();
	#server;
	#connectionCount = 0;

	constructor({target}) {
		this.#server = createServer(near => {
			this.#connectionCount++;
			const far = connect(target.port, target.host);
			const pair = {isSilent: false, near, far};
			this.#pairs.add(pair);
			const forward = (from, to) => {
				from.on('data', data => {
					if (!pair.isSilent) {
						to.write(data);
					}
				});
				from.on('error', () => undefined);
				from.once('close', () => {
					if (!pair.isSilent) {
						to.destroy();
						this.#pairs.delete(pair);
					}
				});
			};

			forward(near, far);
			forward(far, near);
		});
	}

	async listen(host, port) {
		await new Promise(resolve => {
			this.#server.listen(port, host, resolve);
		});
	}

	/** Number of connections that were opened so far. */
	countOpened() {
		return this.#connectionCount;
	}

	/** Makes all open connections silent: nothing more passes on them, and neither side learns of the other's end. */
	silence() {
		this.#pairs.forEach(pair => {
			pair.isSilent = true;
		});
		return this.#pairs.size;
	}

	close() {
		this.#server.close();
		this.#pairs.forEach(({near, far}) => {
			near.destroy();
			far.destroy();
		});
	}
}
