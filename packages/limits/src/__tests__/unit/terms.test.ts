import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import fc from 'fast-check';
import {type Organisation, type TermsOffer} from '@limpetbarrow/releases';
import {
	issueTerms, parseUnverifiedTerms, readTerms, signTerms, verifyTerms, type Terms, type TermsRequest,
} from '../../index.js';

const now = 1_800_000_000_000;
const key = {id: 'k1', secret: Buffer.alloc(32, 1)};
const otherKey = {id: 'k1', secret: Buffer.alloc(32, 2)};
const organisation: Organisation = {name: 'pointe', terms: 'shop'};
const offer: TermsOffer = {
	name: 'shop', initialRate: 10, topRate: 60, growth: 2, initialTimeoutMs: 2000, topTimeoutMs: 5000, lifetimeMs: 100_000,
};
const request: TermsRequest = {
	organisation, offer, home: {id: 'one', incarnation: 7}, isShedding: false, now,
};
const terms = issueTerms(request);
const token = signTerms(terms, key);
const seed = 20_261_204;

function renew(previous: Terms, at: number, isShedding = false): Terms {
	return issueTerms({
		...request, previous, now: at, isShedding,
	});
}

/** Renews any of the terms held so far after a wait in each step, and checks that limits grew no faster than allowed. */
function checkLoop(steps: ReadonlyArray<readonly [number, number]>): void {
	let at = now;
	const held = [terms];
	steps.forEach(([position, waitMs]) => {
		at += waitMs;
		held.push(renew(held[position % held.length]!, at));
	});
	const allowed = Math.floor((at - now) / (offer.lifetimeMs / 2));
	expect(Math.max(...held.map(({renewals}) => renewals))).to.be.at.most(allowed);
}

describe('terms', () => {
	describe('a token', () => {
		it('is verified with the key that signed it, among several', () => {
			expect(verifyTerms(token, [{id: 'k0', secret: Buffer.alloc(32)}, key], now).extract()).to.deep.equal(terms);
		});

		it('that has expired can be read but not verified', () => {
			expect(readTerms(token, [key]).extract()).to.deep.equal(terms);
			expect(verifyTerms(token, [key], terms.expiresAt).extract()).to.deep.include({name: 'termsExpired'});
		});

		it('signed with another key of the same id is refused', () => {
			expect(readTerms(signTerms(terms, otherKey), [key]).extract()).to.deep.include({name: 'termsInvalid'});
		});

		it('changed in any character is refused', () => {
			fc.assert(fc.property(fc.nat(token.length - 2), fc.constantFrom('A', 'b', '0', '.', '_', '\u{FF}'), (position, character) => {
				const changed = `${token.slice(0, position)}${character}${token.slice(position + 1)}`;
				fc.pre(changed !== token);
				expect(readTerms(changed, [key]).isLeft()).to.equal(true);
			}), {seed});
		});

		it('that was truncated or extended is refused', () => {
			fc.assert(fc.property(fc.nat(token.length - 1), fc.string({minLength: 1}), (length, tail) => {
				expect(readTerms(token.slice(0, length), [key]).isLeft()).to.equal(true);
				expect(readTerms(`${token}.${tail}`, [key]).isLeft()).to.equal(true);
			}), {seed});
		});

		it('of arbitrary text is refused without an exception', () => {
			const texts = fc.oneof(fc.string({unit: 'binary', maxLength: 5000}), fc.base64String({maxLength: 3000}).map(text => `k1.${text}.${text}`));
			fc.assert(fc.property(texts, text => {
				expect(readTerms(text, [key]).isLeft()).to.equal(true);
				parseUnverifiedTerms(text);
			}), {seed, numRuns: 500});
		});

		it('with an arbitrary payload and a valid signature is refused', () => {
			fc.assert(fc.property(fc.json(), json => {
				expect(readTerms(signTerms(JSON.parse(json) as Terms, key), [key]).extract()).to.deep.include({name: 'termsInvalid'});
			}), {seed});
		});
	});

	describe('renewal', () => {
		it('multiplies rate and timeout up to the top values and keeps the caller id', () => {
			const renewed = [1, 2, 3, 4].reduce<readonly Terms[]>((held, step) => [...held, renew(held.at(-1)!, now + (step * 60_000))], [terms]);
			expect(renewed.map(({rate}) => rate)).to.deep.equal([10, 20, 40, 60, 60]);
			expect(renewed.map(({timeoutMs}) => timeoutMs)).to.deep.equal([2000, 4000, 5000, 5000, 5000]);
			expect(new Set(renewed.map(({caller}) => caller)).size).to.equal(1);
			expect(new Set(renewed.map(({id}) => id)).size).to.equal(5);
		});

		it('raises no limits while the fleet sheds load', () => {
			expect(renew(terms, now + 60_000, true).rate).to.equal(10);
		});

		it('in a loop raises limits no faster than the held time allows', () => {
			const steps = fc.array(fc.tuple(fc.nat(50), fc.integer({min: 0, max: 30_000})), {maxLength: 60});
			fc.assert(fc.property(steps, checkLoop), {seed});
		});
	});
});
