import {createHash} from 'node:crypto';
import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {EitherAsync, Left, Right} from 'purify-ts';
import {
	createFailure, type Failure, MetricRegistry, SilentLogger,
} from '@limpetbarrow/core';
import {
	ObjectStore, type ObjectList, type StoredObject, type WatchResult,
} from '@limpetbarrow/object-store';
import {ReleaseState, releaseNoteSchema} from '@limpetbarrow/releases';
import {SheddingMonitor} from '../../terms/shedding-monitor.js';
import {TermsKeys} from '../../terms/terms-keys.js';
import {TermsService, type IssuedTerms} from '../../terms/terms-service.js';

const dayMs = 86_400_000;
const lifetimeMs = 60_000;

class FakeStore extends ObjectStore {
	object: StoredObject | undefined;
	isDown = false;
	/** True if writes take effect but their answers are lost. */
	losesAnswers = false;

	override get(): EitherAsync<Failure, StoredObject> {
		this.recordCall('get');
		return this.#answer(() => this.object ? Right(this.object) : Left(createFailure('platformNotFound', 'by the test')));
	}

	override create(key: string, value: string): EitherAsync<Failure, StoredObject> {
		return this.#write(key, value, 0);
	}

	override update(key: string, value: string, version: number): EitherAsync<Failure, StoredObject> {
		return this.#write(key, value, version);
	}

	override list(): EitherAsync<Failure, ObjectList> {
		throw new Error('not used');
	}

	override remove(): EitherAsync<Failure, void> {
		throw new Error('not used');
	}

	override watch(): EitherAsync<Failure, WatchResult> {
		throw new Error('not used');
	}

	#write(key: string, value: string, version: number): EitherAsync<Failure, StoredObject> {
		return this.#answer(() => {
			if ((this.object?.version ?? 0) !== version) {
				return Left(createFailure('platformConflict', 'by the test'));
			}

			this.object = {key, value, version: version + 1};
			return this.losesAnswers ? Left(createFailure('platformUnavailable', 'by the test')) : Right(this.object);
		});
	}

	#answer<Value>(compute: () => ReturnType<typeof Right<Value, Failure>>): EitherAsync<Failure, Value> {
		return EitherAsync.liftEither(this.isDown ? Left(createFailure('platformUnavailable', 'by the test')) : compute());
	}
}

function createReleases(): ReleaseState {
	const releases = new ReleaseState();
	const note = releaseNoteSchema.parse({
		id: 'r1',
		operator: 'test',
		base: 0,
		added: {
			terms: [{
				name: 'shop', initialRate: 10, topRate: 40, lifetimeMs,
			}],
			organisations: [{name: 'pointe', terms: 'shop', secretHash: createHash('sha256').update('slipper').digest('hex')}, {name: 'open', terms: 'shop'}],
		},
	});
	releases.apply([{number: 1, acceptedAt: 0, note}]);
	return releases;
}

describe('terms of callers', () => {
	let clock: Clock;
	let store: FakeStore;
	let keys: TermsKeys;
	let isShedding: boolean;

	const createService = (releases = createReleases(), termsKeys = keys): TermsService => new TermsService({
		releases,
		keys: termsKeys,
		chooseHome: () => ({id: 'one', incarnation: 7}),
		isShedding: () => isShedding,
		getNow: () => Date.now(),
		logger: new SilentLogger(),
	});
	const issue = (service: TermsService, body: Parameters<TermsService['issue']>[0]): IssuedTerms => service.issue(body).extract() as IssuedTerms;
	const findFailureName = (service: TermsService, body: Parameters<TermsService['issue']>[0]): string => (service.issue(body).extract() as Failure).name;
	const loadKeys = async (): Promise<TermsKeys> => {
		const loaded = new TermsKeys(store, new SilentLogger());
		loaded.start();
		await clock.tickAsync(0);
		return loaded;
	};

	beforeEach(async () => {
		clock = install({now: 1_800_000_000_000});
		store = new FakeStore();
		isShedding = false;
		keys = await loadKeys();
	});

	afterEach(() => {
		keys.stop();
		clock.uninstall();
	});

	describe('TermsService', () => {
		it('issues terms only for the right secret, and only with a release in force', () => {
			const service = createService();
			expect(issue(service, {organisation: 'pointe', secret: 'slipper'}).terms).to.deep.include({organisation: 'pointe', rate: 10, renewals: 0});
			expect(findFailureName(service, {organisation: 'pointe', secret: 'boot'})).to.equal('unknownOrganisation');
			expect(findFailureName(service, {organisation: 'nobody', secret: ''})).to.equal('unknownOrganisation');
			expect(issue(service, {organisation: 'open', secret: ''}).terms.organisation).to.equal('open');
			expect(findFailureName(createService(new ReleaseState()), {organisation: 'open', secret: ''})).to.equal('noRelease');
		});

		it('renews the terms of a valid token, and raises their rate after half of their lifetime unless the fleet sheds load', async () => {
			const service = createService();
			const first = issue(service, {organisation: 'pointe', secret: 'slipper'});
			expect(issue(service, {token: first.token}).terms.rate).to.equal(10);
			await clock.tickAsync(lifetimeMs / 2);
			expect(issue(service, {token: first.token}).terms.rate).to.equal(20);
			isShedding = true;
			expect(issue(service, {token: first.token}).terms.rate).to.equal(10);
			expect(findFailureName(service, {token: `${first.token}x`})).to.equal('termsInvalid');
		});

		it('renews expired terms after a restart of the whole fleet with no state on any node, until twice their lifetime has passed', async () => {
			const {token, terms} = issue(createService(), {organisation: 'pointe', secret: 'slipper'});
			await clock.tickAsync(lifetimeMs + 1);
			const restarted = createService(createReleases(), await loadKeys());
			expect(issue(restarted, {token}).terms).to.deep.include({caller: terms.caller, rate: 20});
			await clock.tickAsync(lifetimeMs);
			expect(findFailureName(restarted, {token})).to.equal('termsExpired');
		});
	});

	describe('TermsKeys', () => {
		it('creates the keys once, even if two nodes create them at the same time or the answer is lost', async () => {
			store = new FakeStore();
			const both = await Promise.all([loadKeys(), loadKeys()]);
			expect(both.map(loaded => loaded.findSigningKey()?.id)).to.deep.equal([both[0].findSigningKey()?.id, both[0].findSigningKey()?.id]);
			store = new FakeStore();
			store.losesAnswers = true;
			const loaded = await loadKeys();
			expect(loaded.listKeys().length).to.equal(1);
		});

		it('keeps loaded keys in use while the platform is down; a new node has none until the platform is back', async () => {
			const {token} = issue(createService(), {organisation: 'pointe', secret: 'slipper'});
			store.isDown = true;
			const fresh = await loadKeys();
			expect(fresh.isLoaded()).to.equal(false);
			expect(findFailureName(createService(createReleases(), fresh), {token})).to.equal('platformUnavailable');
			expect(createService().issue({token}).isRight()).to.equal(true);
			store.isDown = false;
			await clock.tickAsync(60_000);
			expect(createService(createReleases(), fresh).issue({token}).isRight()).to.equal(true);
		});

		it('keeps the previous key at a rotation, and signs with the new key only when every node has loaded it', async () => {
			const [first] = keys.listKeys();
			const other = await loadKeys();
			await clock.tickAsync((2 * dayMs) + 3_600_001);
			expect(store.object?.version).to.equal(2);
			[keys, other].forEach(loaded => {
				expect(loaded.listKeys().length).to.equal(2);
				expect(loaded.listKeys()[1]!.id).to.equal(first!.id);
				expect(loaded.findSigningKey()!.id).to.equal(first!.id);
			});
			await clock.tickAsync(7_200_000);
			expect(keys.findSigningKey()!.id).to.not.equal(first!.id);
			other.stop();
		});

		it('reloads the keys at most once a minute for unknown key ids', async () => {
			await clock.tickAsync(60_001);
			const before = store.getCallCounts().get;
			Array.from({length: 100}).forEach((_, index) => {
				keys.loadForUnknownKey(`forged${index}`);
			});
			await clock.tickAsync(0);
			expect(store.getCallCounts().get - before).to.equal(1);
		});

		it('loads no keys from a malformed object', async () => {
			const malformedValues = ['', '{}', '{"keys":[]}', '{"keys":[{"id":"a b","secret":"x","createdAt":1}]}'];
			const loaded = await Promise.all(malformedValues.map(async value => {
				store.object = {key: 'keys/terms', value, version: 1};
				const fresh = await loadKeys();
				fresh.stop();
				return fresh.isLoaded();
			}));
			expect(loaded).to.deep.equal([false, false, false, false]);
		});
	});

	describe('SheddingMonitor', () => {
		it('reports shedding only if requests were shed within the last samples', () => {
			const metrics = new MetricRegistry();
			const monitor = new SheddingMonitor(metrics);
			monitor.recordSample();
			metrics.addCount('ingress_requests_total', 100);
			metrics.addCount('ingress_failures_total', 2, {code: '3003'});
			monitor.recordSample();
			expect(monitor.isShedding()).to.equal(true);
			Array.from({length: 20}).forEach(() => {
				monitor.recordSample();
			});
			expect(monitor.isShedding()).to.equal(false);
		});
	});
});
