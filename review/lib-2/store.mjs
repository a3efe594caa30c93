/** The platform's store as the users' pages describe it: objects by kind and name, conditional writes, lists and watches. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

export class Store {
	#objects = new Map();
	#events = [];
	#revision = 1;
	#watches = new Set();
	#server = createServer((message, response) => {
		this.#handle(message, response);
	});

	async listen(host, port) {
		this.#server.keepAliveTimeout = 60_000;
		await new Promise(resolve => {
			this.#server.listen(port, host, resolve);
		});
	}

	close() {
		this.#server.closeAllConnections();
		this.#server.close();
	}

	/** Writes an object as the operator does. */
	put(kind, name, spec) {
		const known = this.#objects.get(`${kind}/${name}`);
		return this.#write(kind, name, {Spec: spec, Created: known?.Metadata.Created});
	}

	#write(kind, name, {Spec, Created, Finalizers = []}) {
		this.#revision++;
		const object = {
			Metadata: {
				Name: name, Rev: this.#revision, Created: Created ?? this.#revision, Finalizers, DeletionPending: false,
			}, Spec, Status: null,
		};
		this.#objects.set(`${kind}/${name}`, object);
		this.#publish(kind, {Object: object, Removed: false});
		return object;
	}

	#publish(kind, event) {
		this.#events.push({kind, revision: this.#revision, event});
		this.#watches.forEach(check => check());
	}

	async #handle(message, response) {
		const url = new URL(message.url, 'http://store');
		const [kind = '', name] = url.pathname.split('/').slice(3).map(part => decodeURIComponent(part));
		let text = '';
		try {
			for await (const part of message) {
				text += part;
			}
		} catch {
			return;
		}

		const send = (status, body) => {
			const payload = JSON.stringify(body ?? {});
			response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(payload)});
			response.end(payload);
		};

		setTimeout(() => {
			this.#answer({
				method: message.method, kind, name, query: url.searchParams, body: text === '' ? undefined : JSON.parse(text), response,
			}, send);
		}, 4);
	}

	#answer(call, send) {
		const {method, kind, name, query, body, response} = call;
		const known = this.#objects.get(`${kind}/${name ?? body?.Metadata?.Name}`);
		if (method === 'GET' && name === undefined && query.has('Watch')) {
			this.#watch(kind, query, response, send);
		} else if (method === 'GET' && name === undefined) {
			send(200, {items: this.#list(kind, query.get('after') ?? ''), HasMore: false, At: this.#revision});
		} else if (method === 'POST') {
			send(known ? 409 : 200, known ?? this.#write(kind, body.Metadata.Name, body));
		} else if (known === undefined) {
			send(404);
		} else {
			this.#answerForObject(known, call, send);
		}
	}

	#answerForObject(known, {method, kind, name, query, body}, send) {
		const expected = body?.Metadata?.Rev ?? (query.has('Rev') ? Number(query.get('Rev')) : undefined);
		if (method === 'GET') {
			send(200, known);
		} else if (expected !== undefined && expected !== known.Metadata.Rev) {
			send(409, known);
		} else if (method === 'PUT') {
			const isSame = JSON.stringify(known.Spec) === JSON.stringify(body.Spec);
			send(200, isSame ? known : this.#write(kind, name, {...body, Created: known.Metadata.Created}));
		} else {
			this.#revision++;
			this.#objects.delete(`${kind}/${name}`);
			this.#publish(kind, {Object: known, Removed: true});
			send(200, known);
		}
	}

	#list(kind, after) {
		return [...this.#objects].filter(([key]) => key.startsWith(`${kind}/`))
			.map(([, object]) => object)
			.filter(({Metadata: {Name: name}}) => name > after)
			.toSorted((a, b) => a.Metadata.Name < b.Metadata.Name ? -1 : 1);
	}

	#watch(kind, query, response, send) {
		const from = Number(query.get('Watch'));
		const finish = events => {
			clearTimeout(timer);
			this.#watches.delete(check);
			send(200, {events, At: this.#revision});
		};

		const check = () => {
			const events = this.#events.filter(event => event.kind === kind && event.revision > from).map(({event}) => event);
			if (events.length > 0) {
				finish(events);
			}
		};

		const timer = setTimeout(() => finish([]), Number(query.get('WaitMs') ?? 0));
		this.#watches.add(check);
		response.once('close', () => {
			clearTimeout(timer);
			this.#watches.delete(check);
		});
		check();
	}
}
