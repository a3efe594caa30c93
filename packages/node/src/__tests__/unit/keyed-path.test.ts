import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import fc from 'fast-check';
import {Left, Right, type Either} from 'purify-ts';
import {
	attemptHeader, Carrier, createFailure, type Exchange, type ExchangeHandler, type Failure, type NodeIdentity, renewHeader, type RequestHead, type ResultName, termsHeader,
} from '@limpetbarrow/core';
import {issueTerms, signTerms, type Terms} from '@limpetbarrow/limits';
import {type Member} from '@limpetbarrow/members';
import {SteadyClock, type KeyedRequest} from '@limpetbarrow/sequencer';
import {Admission} from '../../terms/admission.js';
import {refuseExchange} from '../../routing/closed-exchange.js';
import {HomeCarrier} from '../../terms/home-carrier.js';
import {HomeRouter} from '../../terms/home-router.js';
import {type IngressRequest} from '../../callers/ingress-request.js';
import {readKeyedRequest, replaceUnprovenFailure} from '../../terms/keyed-request.js';
import {type TermsKeys} from '../../terms/terms-keys.js';

const self: NodeIdentity = {id: 'one', incarnation: 7};
const signingKey = {id: 'k1', secret: Buffer.alloc(32, 1)};
const lifetimeMs = 3_600_000;

function issueTestTerms(home: NodeIdentity, issuedAt = Date.now()): Terms {
	return issueTerms({
		organisation: {name: 'pointe', terms: 'shop'},
		offer: {
			name: 'shop', initialRate: 10, topRate: 60, growth: 2, initialTimeoutMs: 2000, topTimeoutMs: 5000, lifetimeMs,
		},
		home,
		isShedding: false,
		now: issuedAt,
	});
}

function createRequest(token: string | undefined, idempotencyKey: string | undefined, attempt?: string): IngressRequest {
	return {
		host: '',
		method: 'POST',
		path: '/orders',
		headers: [...(token === undefined ? [] : [termsHeader, token]), ...(attempt === undefined ? [] : [attemptHeader, attempt])],
		timeoutMs: undefined,
		termsToken: token,
		idempotencyKey,
		contentLength: undefined,
	};
}

class RefusingCarrier extends Carrier {
	readonly #name: ResultName;

	constructor(name: ResultName) {
		super();
		this.#name = name;
	}

	override openExchange(_head: RequestHead, handler: ExchangeHandler): Exchange {
		return refuseExchange(handler, createFailure(this.#name, 'by the test'));
	}
}

async function fetchFailure(carrier: Carrier, headers: readonly string[]): Promise<Failure> {
	return new Promise(resolve => {
		carrier.openExchange({headers} as unknown as RequestHead, {
			handleHead: () => undefined, handleData: () => undefined, handleEnd: () => undefined, handleCredit: () => undefined, handleFailure: resolve,
		});
	});
}

async function fetchFailureName(carrier: Carrier, headers: readonly string[]): Promise<ResultName> {
	const {name} = await fetchFailure(carrier, headers);
	return name;
}

describe('the request path of keyed requests', () => {
	describe('Admission', () => {
		const permits: string[] = [];
		let isLimited = false;
		const createAdmission = (isLoaded: boolean): Admission => new Admission({
			keys: {isLoaded: () => isLoaded, listKeys: () => isLoaded ? [signingKey] : [], loadForUnknownKey: () => undefined} as unknown as TermsKeys,
			clock: new SteadyClock(),
			takePermit(terms) {
				permits.push(terms.id);
				return isLimited ? Left(createFailure('limitExceeded', 'by the test', 500)) : Right(undefined);
			},
		});
		const terms = issueTestTerms(self);
		const token = signTerms(terms, signingKey);
		const ended = issueTestTerms(self, Date.now() - (2 * lifetimeMs));
		const endedToken = signTerms(ended, signingKey);

		const cases: ReadonlyArray<readonly [string, IngressRequest, string | undefined]> = [
			['no terms and no key', createRequest(undefined, undefined), undefined],
			['a key without terms', createRequest(undefined, 'abc:1'), 'termsInvalid'],
			['terms', createRequest(token, undefined), undefined],
			['expired terms without a key', createRequest(endedToken, undefined), 'termsExpired'],
			['a key with its terms', createRequest(token, `${terms.id}:1`, '1'), undefined],
			['a key with its expired terms', createRequest(endedToken, `${ended.id}:1`, '2'), undefined],
			['a key of other terms', createRequest(token, `${ended.id}:1`), 'keyMalformed'],
			['a malformed key', createRequest(token, `${terms.id}:a b`), 'keyMalformed'],
			['a malformed attempt', createRequest(token, `${terms.id}:1`, '0'), 'keyMalformed'],
			['a forged token', createRequest(signTerms(terms, {id: 'k1', secret: Buffer.alloc(32)}), undefined), 'termsInvalid'],
		];
		cases.forEach(([name, request, expected]) => {
			it(`${expected === undefined ? 'admits' : `answers ${expected} to`} ${name}`, () => {
				const result = createAdmission(true).admitRequest(request);
				expect(result.isRight() ? undefined : (result.extract() as Failure).name).to.equal(expected);
			});
		});

		it('reports "not run" for a keyed request only on the first attempt or when it is malformed', () => {
			const [limited, malformed] = [createFailure('limitExceeded', 'by the test', 500), createFailure('keyMalformed', 'by the test')];
			const headers = ['1', '2', undefined].map(attempt => createRequest(token, '', attempt).headers);
			const failures = headers.flatMap(raw => [replaceUnprovenFailure(raw, limited), replaceUnprovenFailure(raw, malformed)]);
			expect(failures.map(({name, ran}) => `${name} ${ran}`)).to.deep.equal([
				'limitExceeded not-run', 'keyMalformed not-run', 'keyUndecided unknown', 'keyMalformed not-run', 'keyUndecided unknown', 'keyMalformed not-run',
			]);
		});

		it('refuses requests that exceed the limits of their terms', () => {
			isLimited = true;
			const refused = [undefined, `${terms.id}:1`].map(key => createAdmission(true).admitRequest(createRequest(token, key)).extract() as Failure);
			isLimited = false;
			expect(refused.map(({name}) => name)).to.deep.equal(['limitExceeded', 'limitExceeded']);
		});

		it('without signing keys ignores the terms of unkeyed requests and admits keyed ones for their home to verify', () => {
			permits.length = 0;
			const admission = createAdmission(false);
			expect(admission.admitRequest(createRequest(token, undefined)).extract()).to.equal(undefined);
			expect(admission.admitRequest(createRequest(token, `${terms.id}:1`)).isRight()).to.equal(true);
		});

		it('returns a failure for any random token, key and attempt', () => {
			const text = fc.string({unit: 'binary', maxLength: 3000});
			fc.assert(fc.property(text, text, text, fc.boolean(), (anyToken, anyKey, attempt, isLoaded) => {
				expect(createAdmission(isLoaded).admitRequest(createRequest(anyToken, anyKey, attempt)).isLeft()).to.equal(true);
			}), {seed: 20_261_204});
		});
	});

	describe('readKeyedRequest at the home node', () => {
		const read = (home: NodeIdentity, key: string): Either<Failure, KeyedRequest> => {
			const terms = issueTestTerms(home);
			return readKeyedRequest({
				headers: [termsHeader, signTerms(terms, signingKey)], idempotencyKey: key.replace('ID', terms.id),
			} as unknown as RequestHead, self, [signingKey]);
		};

		it('accepts keys of its own incarnation only', () => {
			expect(read(self, 'ID:1').isRight()).to.equal(true);
			expect(read({id: 'one', incarnation: 6}, 'ID:1').extract()).to.deep.include({name: 'keyOutcomeUnknown'});
			expect(read({id: 'two', incarnation: 7}, 'ID:1').extract()).to.deep.include({name: 'keyOutcomeUnknown'});
		});

		it('refuses a key of other terms than those sent', () => {
			expect(read(self, 'other:1').extract()).to.deep.include({name: 'keyMalformed'});
		});
	});

	describe('HomeCarrier', () => {
		class AnsweringCarrier extends Carrier {
			override openExchange(_head: RequestHead, handler: ExchangeHandler): Exchange {
				handler.handleHead({status: 200, headers: []});
				return refuseExchange(handler, createFailure('linkLost', 'by the test'));
			}
		}

		[true, false].forEach(isStopping => {
			it(`${isStopping ? 'adds' : 'does not add'} the renew header while the node is ${isStopping ? 'stopping' : 'serving'}`, async () => {
				const home = new HomeCarrier(new AnsweringCarrier(), () => isStopping, () => [signingKey]);
				const headers = await new Promise<readonly string[]>(resolve => {
					home.openExchange({path: '/orders'} as RequestHead, {
						handleHead(head) {
							resolve(head.headers);
						},
						handleData: () => undefined,
						handleEnd: () => undefined,
						handleCredit: () => undefined,
						handleFailure: () => undefined,
					});
				});
				expect(headers).to.deep.equal(isStopping ? [renewHeader, '1'] : []);
			});
		});
	});

	describe('HomeRouter', () => {
		const local = new RefusingCarrier('queueFull');
		const forwarder = new RefusingCarrier('noServer');
		const createRouter = (member: {readonly incarnation: number; readonly status: string} | undefined, linkFailure: ResultName = 'linkLost'): HomeRouter => new HomeRouter({
			self,
			sequencer: local,
			forwarder,
			findMember: () => member && {record: {incarnation: member.incarnation, linkAddress: {host: '127.0.0.1', port: 1}}, status: member.status} as unknown as Member,
			getLink: () => new RefusingCarrier(linkFailure),
		});
		const findFailureName = (router: HomeRouter, home: NodeIdentity, attempt?: string): string | undefined => {
			const result = router.selectCarrier(createRequest('token', 'k:1', attempt), issueTestTerms(home));
			return result.isRight() ? undefined : (result.extract() as Failure).name;
		};

		it('selects the local sequencer for terms of this incarnation and the forwarder for unkeyed requests', () => {
			const router = createRouter(undefined);
			expect(router.selectCarrier(createRequest('token', 'k:1'), issueTestTerms(self)).extract()).to.equal(local);
			expect(router.selectCarrier(createRequest('token', undefined), issueTestTerms(self)).extract()).to.equal(forwarder);
		});

		const cases: ReadonlyArray<readonly [string, NodeIdentity, Parameters<typeof createRouter>[0], string]> = [
			['an earlier incarnation of this node', {id: 'one', incarnation: 6}, undefined, 'keyOutcomeUnknown'],
			['an earlier incarnation of another node', {id: 'two', incarnation: 6}, {incarnation: 7, status: 'alive'}, 'keyOutcomeUnknown'],
			['an incarnation not yet known', {id: 'two', incarnation: 8}, {incarnation: 7, status: 'alive'}, 'homeUnreachable'],
			['an unknown node', {id: 'two', incarnation: 7}, undefined, 'homeUnreachable'],
			['a dead node', {id: 'two', incarnation: 7}, {incarnation: 7, status: 'dead'}, 'homeUnreachable'],
		];
		cases.forEach(([name, home, member, expected]) => {
			it(`answers ${expected} for ${name}, and "not run" only on a first attempt`, () => {
				const router = createRouter(member);
				expect([findFailureName(router, home), findFailureName(router, home, '2'), findFailureName(router, home, '1')]).to.deep.equal([expected, expected, 'homeGone']);
			});
		});

		const linkCases: ReadonlyArray<readonly [ResultName, ResultName, ResultName]> = [
			['linkUnreachable', 'homeGone', 'homeUnreachable'],
			['deadlinePassed', 'deadlinePassed', 'keyUndecided'],
			['linkLost', 'homeUnreachable', 'homeUnreachable'],
			['malformedFrame', 'homeUnreachable', 'homeUnreachable'],
			['frameTooLarge', 'homeUnreachable', 'homeUnreachable'],
			['queueFull', 'queueFull', 'queueFull'],
		];
		linkCases.forEach(([name, first, later]) => {
			it(`reports ${name} on the link to the home as ${first} on the first attempt and as ${later} on others`, async () => {
				const router = createRouter({incarnation: 7, status: 'suspect'}, name);
				const carrier = router.selectCarrier(createRequest('token', 'k:1'), issueTestTerms({id: 'two', incarnation: 7})).extract() as Carrier;
				const names = [await fetchFailureName(carrier, []), await fetchFailureName(carrier, [attemptHeader, '1']), await fetchFailureName(carrier, [attemptHeader, '2'])];
				expect(names).to.deep.equal([later, first, later]);
			});
		});
	});
});
