import {expect} from 'chai';
import {foldResult, type RequestHead} from '@limpetbarrow/core';
import {
	emptyConfiguration, hashKey, routeSchema, type Configuration, type KeyedOrganisation,
} from '@limpetbarrow/releases';
import {CallerIdentifier, computeRank, type IdentifiedRequest} from '../../callers/caller-identity.js';
import {VerifyingServerProtocol} from '../../backend/server-protocol.js';
import {testServerHeaders} from '../raw-backend.js';

const key = 'yx5x42q492cqf75rjvz4';
const organisations: readonly KeyedOrganisation[] = [
	{name: 'hule930', keyDigests: [hashKey(key), hashKey('second')], priority: 1},
	{name: 'small', keyDigests: [hashKey('other')]},
];
const configuration: Configuration = {...emptyConfiguration, release: 7, keyedOrganisations: new Map(organisations.map(one => [one.name, one]))};
const route = routeSchema.parse({
	name: 'orders', pathPrefix: '/orders/', service: 'desk', priority: 2,
});
const publicRoute = {...route, isPublic: true};

function createIdentifier({isProven = true, parent, isEnded = false}: {readonly isProven?: boolean; readonly parent?: Partial<RequestHead>; readonly isEnded?: boolean} = {}): CallerIdentifier {
	return new CallerIdentifier({
		headerNames: {key: 'authorization', organisation: 'tenant'},
		findParent: () => parent as RequestHead | undefined,
		isCallOfEnded: () => isEnded,
		isConfigurationProven: () => isProven,
	});
}

/** Formats who sent a request, or why it is refused. */
function formatIdentity(request: IdentifiedRequest, {identifier = createIdentifier(), on = route, under = configuration}: {readonly identifier?: CallerIdentifier; readonly on?: typeof route; readonly under?: Configuration} = {}): string {
	return foldResult(identifier.findIdentity(request, on, under), ({name, status}) => `${status} ${name}`, identity => identity === undefined
		? 'no keys'
		: `${identity.organisation?.name ?? 'nobody'}, rank ${identity.priority}, ${identity.headers.join(' ')}`);
}

function createAuthorized(...values: readonly string[]): IdentifiedRequest {
	return {requestId: 'r-1', headers: ['Host', 'h', ...values.flatMap(value => ['Authorization', value])]};
}

describe('a caller\'s identity', () => {
	describe('by its key', () => {
		it('is the organisation that holds the key, whose priority goes before the route\'s', () => {
			expect(formatIdentity(createAuthorized(`Bearer ${key}`))).to.equal(`hule930, rank ${computeRank(1, 2)}, Host h`);
			expect(computeRank(1, 1000)).to.be.below(computeRank(2, 0));
		});

		const spellings: ReadonlyArray<readonly [string, string]> = [
			[`bearer ${key}`, 'hule930'], [`BEARER  \t${key} `, 'hule930'], [`Bearer${key}`, '401'], [`Basic ${key}`, '401'], [`Bearer ${key} more`, '401'], ['Bearer ', '401'], [`Bearer ${key},other`, '401'],
		];
		spellings.forEach(([value, expected]) => {
			it(`is ${expected} for "${value}"`, () => {
				expect(formatIdentity(createAuthorized(value)).startsWith(expected)).to.equal(true);
			});
		});

		it('is refused when the key is unknown, missing, or given twice', () => {
			expect([formatIdentity(createAuthorized('Bearer unknown')), formatIdentity(createAuthorized()), formatIdentity(createAuthorized(`Bearer ${key}`, `Bearer ${key}`))]).to.deep.equal(Array.from({length: 3}, () => '401 keyInvalid'));
		});

		it('is refused as not run while nothing proves the configuration, also for a key that is unknown', () => {
			const identifier = createIdentifier({isProven: false});
			expect([formatIdentity(createAuthorized(`Bearer ${key}`), {identifier}), formatIdentity(createAuthorized('Bearer unknown'), {identifier})]).to.deep.equal(['503 configurationUnproven', '503 configurationUnproven']);
		});
	});

	describe('without a key', () => {
		it('is nobody on a public route, which is served without proof as well', () => {
			expect(formatIdentity(createAuthorized(), {on: publicRoute, identifier: createIdentifier({isProven: false})})).to.equal(`nobody, rank ${computeRank(undefined, 2)}, Host h`);
		});

		it('is nobody for a call, which has the rank of the organisation that it works for', () => {
			const identifier = createIdentifier({parent: {priority: computeRank(3, 1)}, isProven: false});
			expect(formatIdentity(createAuthorized(), {identifier})).to.equal(`nobody, rank ${computeRank(3, 2)}, Host h`);
		});

		it('is refused as not run for a call whose parent has ended', () => {
			expect(formatIdentity(createAuthorized(), {identifier: createIdentifier({isEnded: true})})).to.equal('503 callOrphaned');
		});

		it('is not asked for where the configuration has no keys', () => {
			expect(formatIdentity(createAuthorized(), {under: emptyConfiguration})).to.equal('no keys');
		});
	});

	describe('at the backend server', () => {
		const head = {
			requestId: 'r-1', headers: ['x-organisation', 'forged', 'X-ORGANISATION', 'again', 'accept', '*'], organisation: 'hule930', callerService: 'desk',
		} as unknown as RequestHead;

		it('replaces whatever the caller sent in its place, in any spelling', () => {
			const headers = new VerifyingServerProtocol(testServerHeaders).createRequestHeaders(head, 1000, 'i-1');
			const values = headers.filter((_, index) => index % 2 === 1 && headers[index - 1]!.toLowerCase() === 'x-organisation');
			expect(values).to.deep.equal(['hule930']);
		});

		it('leaves the headers of requests without an organisation as they are', () => {
			const headers = new VerifyingServerProtocol(testServerHeaders).createRequestHeaders({...head, organisation: ''}, 1000, 'i-1');
			expect(headers.filter(text => text === 'forged' || text === 'again')).to.have.length(2);
		});
	});
});
