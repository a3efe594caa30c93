import {createConnection, type Socket} from 'node:net';
import {Left, Right} from 'purify-ts';
import {expect} from 'chai';
import {createFailure, MetricRegistry, SilentLogger} from '@limpetbarrow/core';
import {
	emptyConfiguration, hashKey, ReleaseState, routeSchema, type KeyedOrganisation,
} from '@limpetbarrow/releases';
import {CallerIdentifier} from '../../callers/caller-identity.js';
import {Ingress} from '../../callers/ingress.js';
import {type HandlePermit, type OrganisationQuotas} from '../../callers/organisation-quotas.js';
import {HeldCarrier, waitUntil} from '../pipeline-fixture.js';

const organisation: KeyedOrganisation = {
	name: 'hule930', keyDigests: [hashKey('key')], ratePerSecond: 5, burst: 5,
};

/** Answers at once by `result`, or later by `handlers`. */
class QuotaStub implements OrganisationQuotas {
	result: Parameters<HandlePermit>[0] | undefined = Right(undefined);
	handlers: HandlePermit[] = [];
	cancelled = 0;
	released = 0;

	takePermit(_organisation: KeyedOrganisation, handlePermit: HandlePermit): () => void {
		if (this.result) {
			handlePermit(this.result);
		} else {
			this.handlers.push(handlePermit);
		}

		return () => {
			this.cancelled++;
		};
	}

	releasePermit(): void {
		this.released++;
	}
}

describe('the ingress with quotas', () => {
	let carrier: HeldCarrier;
	let quotas: QuotaStub;
	let ingress: Ingress;
	let caller: Socket;
	let received: string;

	beforeEach(async () => {
		const releases = new ReleaseState();
		const route = routeSchema.parse({name: 'all', pathPrefix: '/', service: 'desk'});
		releases.applyConfiguration({
			...emptyConfiguration, release: 1, routes: new Map([[route.name, route]]), keyedOrganisations: new Map([[organisation.name, organisation]]),
		});
		carrier = new HeldCarrier();
		quotas = new QuotaStub();
		ingress = new Ingress({
			releases,
			admitRequest: () => Right(undefined),
			selectCarrier: () => Right(carrier),
			handleReserved(_message, response) {
				response.end();
			},
			identifier: new CallerIdentifier({
				headerNames: {key: 'authorization', organisation: 'tenant'}, findParent: () => undefined, isCallOfEnded: () => false, isConfigurationProven: () => true,
			}),
			quotas,
			metrics: new MetricRegistry(),
			logger: new SilentLogger(),
		});
		const {port} = await ingress.listen({host: '127.0.0.1', port: 0});
		received = '';
		caller = createConnection(port, '127.0.0.1');
		caller.on('data', bytes => {
			received += bytes.toString();
		});
	});

	afterEach(() => {
		caller.destroy();
		ingress.close();
	});

	function sendRequest(): void {
		caller.write('GET /a HTTP/1.1\r\nhost: h\r\nauthorization: Bearer key\r\n\r\n');
	}

	// Guards against a permit that is there at once, before the request could begin to wait for it.
	it('forwards a request whose permit is there at once', async () => {
		sendRequest();
		expect(await waitUntil(() => carrier.listPaths().length === 1)).to.equal(true);
	});

	it('forwards a request once its permit has come', async () => {
		quotas.result = undefined;
		sendRequest();
		await waitUntil(() => quotas.handlers.length === 1);
		expect(carrier.listPaths()).to.deep.equal([]);
		quotas.handlers[0]!(Right(undefined));
		expect(carrier.listPaths()).to.deep.equal(['/a']);
	});

	it('refuses a request beyond the quota with the time after which to come again', async () => {
		quotas.result = Left(createFailure('limitExceeded', 'too many', 1500));
		sendRequest();
		await waitUntil(() => received !== '');
		expect([/^HTTP\/1.1 429/v.test(received), received.includes('retry-after: 2'), carrier.listPaths()]).to.deep.equal([true, true, []]);
	});

	it('gives up a request whose caller leaves while it waits', async () => {
		quotas.result = undefined;
		sendRequest();
		await waitUntil(() => quotas.handlers.length === 1);
		caller.destroy();
		expect(await waitUntil(() => quotas.cancelled === 1)).to.equal(true);
	});

	it('gives back the permit of a request that has not run', async () => {
		sendRequest();
		await waitUntil(() => carrier.opened.length === 1);
		carrier.opened[0]!.handler.handleFailure(createFailure('queueFull', 'no room', 100));
		await waitUntil(() => received !== '');
		expect(quotas.released).to.equal(1);
	});
});
