/** The keys that sign terms, kept in one object of the platform. */
import {Buffer} from 'node:buffer';
import {randomBytes, randomInt} from 'node:crypto';
import {
	EitherAsync, Left, Right, type Either,
} from 'purify-ts';
import * as z from 'zod';
import {
	createFailure, createRandomId, foldResult, type Failure, type Logger,
} from '@limpetbarrow/core';
import {type SigningKey} from '@limpetbarrow/limits';
import {type ObjectStore, type StoredObject} from '@limpetbarrow/object-store';

const keysObjectKey = 'keys/terms';
const secretBytes = 32;
const maxSigningKeys = 2;
/** Age at which the newest key is followed by another, in milliseconds; longer than terms live. */
const rotationAgeMs = 172_800_000;
/** Spread of the fleet's reads after a rotation, in milliseconds. */
const rotationJitterMs = 3_600_000;
/** Age from which a key signs, so that every node knows it by then, in milliseconds. */
const activationAgeMs = 7_200_000;
const firstRetryMs = 500;
const maxRetryMs = 30_000;
const unknownKeyReloadMs = 60_000;

const documentSchema = z.strictObject({
	keys: z.array(z.strictObject({
		id: z.string().regex(/^[\w\-]{1,32}$/v),
		secret: z.base64url(),
		/** Unix milliseconds. */
		createdAt: z.int(),
	}).readonly()).min(1).max(maxSigningKeys).readonly(),
}).readonly();

type KeyDocument = z.output<typeof documentSchema>;

type KeyState = {
	readonly document: KeyDocument;
	readonly version: number;
	readonly keys: readonly SigningKey[];
};

function createDocument(previous: KeyDocument | undefined, now: number): KeyDocument {
	const key = {id: createRandomId(), secret: randomBytes(secretBytes).toString('base64url'), createdAt: now};
	return {keys: [key, ...previous?.keys ?? []].slice(0, maxSigningKeys)};
}

function parseDocument({value, version}: StoredObject): Either<Failure, KeyState> {
	try {
		const document = documentSchema.parse(JSON.parse(value));
		const keys = document.keys.map(({id, secret}) => ({id, secret: Buffer.from(secret, 'base64url')}));
		return Right({document, version, keys});
	} catch {
		return Left(createFailure('platformMalformed', `object ${keysObjectKey}`));
	}
}

/** Loads the keys once, again when they are due to be rotated, and when terms name a key not known here. */
export class TermsKeys {
	readonly #platform: ObjectStore;
	readonly #logger: Logger;
	#state: KeyState | undefined;
	#timer: NodeJS.Timeout | undefined;
	#retryMs = firstRetryMs;
	#lastLoadAt = Number.NEGATIVE_INFINITY;
	#isStopped = true;

	constructor(platform: ObjectStore, logger: Logger) {
		this.#platform = platform;
		this.#logger = logger;
	}

	start(): void {
		this.#isStopped = false;
		void this.load();
	}

	stop(): void {
		this.#isStopped = true;
		clearTimeout(this.#timer);
	}

	isLoaded(): boolean {
		return this.#state !== undefined;
	}

	/** Keys that terms may be signed with. */
	listKeys(): readonly SigningKey[] {
		return this.#state?.keys ?? [];
	}

	/** The key to sign with; undefined before the first was loaded. */
	findSigningKey(now = Date.now()): SigningKey | undefined {
		const createdAt = this.#state?.document.keys.map(key => key.createdAt) ?? [];
		const index = createdAt.findIndex(at => at + activationAgeMs <= now);
		return this.#state?.keys.at(index);
	}

	/** Loads again, at most once a minute, since terms named a key that is not known here. */
	loadForUnknownKey(keyId: string | undefined): void {
		const isKnown = keyId === undefined || this.listKeys().some(({id}) => id === keyId);
		if (!isKnown && !this.#isStopped && performance.now() - this.#lastLoadAt > unknownKeyReloadMs) {
			void this.load();
		}
	}

	/** Loads the keys, and creates or rotates them when that is due. */
	async load(): Promise<void> {
		this.#lastLoadAt = performance.now();
		const result = await this.#fetchKeys().run();
		foldResult(
			result,
			failure => {
				this.#logger.log('keysNotLoaded', {code: failure.code, detail: failure.detail});
				this.#retryMs = Math.min(maxRetryMs, this.#retryMs * 2);
				this.#startTimer(randomInt(this.#retryMs / 2, this.#retryMs));
			},
			state => {
				this.#logger.log('keysLoaded', {keys: state.keys.length, version: state.version});
				this.#state = state;
				this.#retryMs = firstRetryMs;
				const dueMs = state.document.keys[0]!.createdAt + rotationAgeMs - Date.now();
				this.#startTimer(Math.min(rotationAgeMs, Math.max(0, dueMs)) + randomInt(rotationJitterMs));
			},
		);
	}

	#startTimer(delayMs: number): void {
		clearTimeout(this.#timer);
		if (!this.#isStopped) {
			this.#timer = setTimeout(() => {
				void this.load();
			}, delayMs);
			this.#timer.unref();
		}
	}

	#fetchKeys(): EitherAsync<Failure, KeyState> {
		return this.#platform.get(keysObjectKey)
			.chain(async object => parseDocument(object))
			.chain(state => this.#renewKeys(state))
			.chainLeft(failure => failure.name === 'platformNotFound' ? this.#createKeys() : EitherAsync.liftEither(Left(failure)));
	}

	/** Another node may have created them first, or the answer of this create may be lost; what is there counts. */
	#createKeys(): EitherAsync<Failure, KeyState> {
		return this.#platform.create(keysObjectKey, JSON.stringify(createDocument(undefined, Date.now())))
			.chainLeft(() => this.#platform.get(keysObjectKey))
			.chain(async object => parseDocument(object));
	}

	#renewKeys(state: KeyState): EitherAsync<Failure, KeyState> {
		const now = Date.now();
		if (state.document.keys[0]!.createdAt + rotationAgeMs > now) {
			return EitherAsync.liftEither(Right(state));
		}

		return this.#platform.update(keysObjectKey, JSON.stringify(createDocument(state.document, now)), state.version)
			.chainLeft(() => this.#platform.get(keysObjectKey))
			.chain(async object => parseDocument(object));
	}
}
