import {expect} from 'chai';
import {Right} from 'purify-ts';
import {request} from 'undici';
import {MetricRegistry, SilentLogger, type NodeRecord} from '@limpetbarrow/core';
import {MemberTable} from '@limpetbarrow/members';
import {
	ConfigurationFreshness, emptyConfiguration, hashKey, ReleaseState, routeSchema,
} from '@limpetbarrow/releases';
import {CallerIdentifier} from '../../callers/caller-identity.js';
import {Ingress} from '../../callers/ingress.js';
import {ConfigurationKnowledge} from '../../fleet/configuration-knowledge.js';
import {HeldCarrier} from '../pipeline-fixture.js';

const address = {host: '127.0.0.1', port: 1};
const silenceMs = 5000;

function createRecord(id: string, release: number): NodeRecord {
	return {
		id, incarnation: 1, sequence: 1, placement: {region: 'r', failureDomain: 'a'}, linkAddress: address, gossipAddress: address,
		ingressAddress: address, adminAddress: address, state: 'serving', release, servers: [], poison: [],
	};
}

describe('the refusal of a route or a key that the configuration lacks', () => {
	let table: MemberTable;
	let releases: ReleaseState;
	let ingress: Ingress;
	let port: number;
	let lastMessageAt: number;
	let isFailing: boolean;
	let getProvenRelease: () => number;

	beforeEach(async () => {
		table = new MemberTable(createRecord('own', 3));
		releases = new ReleaseState();
		const route = routeSchema.parse({name: 'known', pathPrefix: '/known/', service: 'desk'});
		releases.applyConfiguration({
			...emptyConfiguration, release: 3, routes: new Map([[route.name, route]]), keyedOrganisations: new Map([['shop', {name: 'shop', keyDigests: [hashKey('key')]}]]),
		});
		lastMessageAt = performance.now();
		isFailing = false;
		getProvenRelease = () => 0;
		const knowledge = new ConfigurationKnowledge({
			table, state: releases, getProvenRelease: () => getProvenRelease(), gossip: {getLastMessageAt: () => lastMessageAt}, getWatcher: () => ({getAnswerAgeMs: () => 0, isWatching: () => false, isFailing: () => isFailing}),
		});
		ingress = new Ingress({
			releases,
			admitRequest: () => Right(undefined),
			selectCarrier: () => Right(new HeldCarrier()),
			handleReserved(_message, response) {
				response.end();
			},
			identifier: new CallerIdentifier({
				headerNames: {key: 'authorization', organisation: 'tenant'}, findParent: () => undefined, isCallOfEnded: () => false, isConfigurationProven: () => true,
			}),
			isOutdated: () => knowledge.isOutdated(),
			metrics: new MetricRegistry(),
			logger: new SilentLogger(),
		});
		({port} = await ingress.listen({host: '127.0.0.1', port: 0}));
	});

	afterEach(() => {
		ingress.close();
	});

	async function fetchStatuses(): Promise<readonly number[]> {
		return Promise.all(['/new/', '/known/'].map(async path => {
			const {statusCode, headers, body} = await request(`http://127.0.0.1:${port}${path}`, {headers: {authorization: 'Bearer other'}});
			await body.dump();
			expect(headers['retry-after'] !== undefined).to.equal(statusCode === 503);
			return statusCode;
		}));
	}

	it('is final while others name no newer release', async () => {
		table.merge([createRecord('other', 3)]);
		expect(await fetchStatuses()).to.deep.equal([404, 401]);
	});

	// Guards against a final refusal by a node that knows of a newer configuration than its own.
	it('says that the request may come again while another node names a newer release', async () => {
		table.merge([createRecord('other', 4)]);
		expect(await fetchStatuses()).to.deep.equal([503, 503]);
		releases.applyConfiguration({...releases.getConfiguration(), release: 4});
		expect(await fetchStatuses()).to.deep.equal([404, 401]);
	});

	// Guards against a final refusal by a node that holds a proof of a newer configuration, though no record names one.
	it('says that the request may come again while a proof of freshness names a newer release', async () => {
		const freshness = new ConfigurationFreshness(() => releases.getNumber());
		getProvenRelease = () => freshness.getHighestVersion();
		freshness.recordProof(freshness.readClocks(), 3);
		expect(await fetchStatuses()).to.deep.equal([404, 401]);
		freshness.recordProof(freshness.readClocks(), 4);
		expect(await fetchStatuses()).to.deep.equal([503, 503]);
	});

	// Guards against a final refusal by a node that is cut off from the platform and from all others.
	it('says that the request may come again while neither the platform nor any other node answers', async () => {
		isFailing = true;
		expect(await fetchStatuses()).to.deep.equal([404, 401]);
		lastMessageAt -= silenceMs;
		expect(await fetchStatuses()).to.deep.equal([503, 503]);
	});
});
