/** A stand-in for the platform's store: objects by kind and name, revisions, conditional writes and watches. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

const pageSize = 500;

function formatObject(key, {rev, spec}) {
	return {
		Metadata: {
			Name: key.slice(key.indexOf('/') + 1), Rev: rev, Created: 1, Finalizers: [], DeletionPending: false,
		},
		Spec: spec,
		Status: null,
	};
}

export class Store {
	#objects = new Map();
	#changes = [];
	#rev = 40;
	#waiting = new Set();
	#server = createServer((message, response) => {
		this.#handle(message, response);
	});

	async listen(port, host) {
		await new Promise(resolve => {
			this.#server.listen(port, host, resolve);
		});
	}

	close() {
		this.#server.closeAllConnections();
		this.#server.close();
	}

	/** Writes an object as the operator does; the return is the acknowledgement. */
	write(key, spec) {
		this.#apply(key, spec);
	}

	#apply(key, spec) {
		this.#rev++;
		const isRemoved = spec === undefined;
		const entry = {rev: this.#rev, spec};
		if (isRemoved) {
			this.#objects.delete(key);
		} else {
			this.#objects.set(key, entry);
		}

		this.#changes.push({
			kind: key.slice(0, key.indexOf('/')), rev: this.#rev, event: {Object: formatObject(key, entry), Removed: isRemoved},
		});
		[...this.#waiting].forEach(wake => {
			wake();
		});
	}

	async #handle(message, response) {
		const chunks = await message.toArray().catch(() => []);
		const {status, body = {}} = await this.#answer(message, Buffer.concat(chunks).toString('utf8'));
		if (!response.destroyed) {
			response.writeHead(status, {'content-type': 'application/json'});
			response.end(JSON.stringify(body));
		}
	}

	async #answer({method, url}, text) {
		const {pathname, searchParams} = new URL(url, 'http://store');
		const [kind = '', name = ''] = pathname.replace('/-/objects/', '').split('/').map(part => decodeURIComponent(part));
		if (method === 'GET') {
			return searchParams.has('Watch') ? this.#watch(kind, searchParams) : this.#read(kind, name, searchParams.get('after') ?? '');
		}

		const sent = text === '' ? undefined : JSON.parse(text);
		const key = `${kind}/${name === '' ? sent.Metadata.Name : name}`;
		const known = this.#objects.get(key);
		const expected = sent?.Metadata?.Rev ?? (searchParams.has('Rev') ? Number(searchParams.get('Rev')) : undefined);
		if (method === 'POST' ? known : (known && expected !== undefined && expected !== known.rev)) {
			return {status: 409, body: formatObject(key, known)};
		}

		if (method !== 'POST' && !known) {
			return {status: 404};
		}

		this.#apply(key, method === 'DELETE' ? undefined : sent.Spec);
		const written = this.#objects.get(key);
		return {status: 200, body: written ? formatObject(key, written) : {}};
	}

	#read(kind, name, after) {
		if (name !== '') {
			const found = this.#objects.get(`${kind}/${name}`);
			return found ? {status: 200, body: formatObject(`${kind}/${name}`, found)} : {status: 404};
		}

		const keys = [...this.#objects.keys()].filter(key => key.startsWith(`${kind}/`) && key.slice(kind.length + 1) > after).toSorted((a, b) => a.localeCompare(b));
		const page = keys.slice(0, pageSize);
		return {status: 200, body: {items: page.map(key => formatObject(key, this.#objects.get(key))), HasMore: keys.length > pageSize, At: this.#rev}};
	}

	async #watch(kind, query) {
		const from = Number(query.get('Watch'));
		const select = () => this.#changes.filter(change => change.kind === kind && change.rev > from).map(({event}) => event);
		const until = performance.now() + Number(query.get('WaitMs'));
		const waitForEvent = async () => {
			const leftMs = until - performance.now();
			if (select().length > 0 || leftMs <= 0) {
				return;
			}

			await new Promise(resolve => {
				const finish = () => {
					clearTimeout(timer);
					this.#waiting.delete(finish);
					resolve();
				};

				const timer = setTimeout(finish, leftMs);
				this.#waiting.add(finish);
			});
			await waitForEvent();
		};

		await waitForEvent();
		return {status: 200, body: {events: select(), At: this.#rev}};
	}
}
