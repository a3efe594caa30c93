/** The keys that sign terms, stored in one object of the platform. */
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
/** Age of the newest key at which another one is created, in milliseconds; longer than the lifetime of terms. */
const rotationAgeMs = 172_800_000;
/** Interval over which the fleet's reads after a rotation are spread at random, in milliseconds. */
const rotationJitterMs = 3_600_000;
/** Age from which a key is used to sign, in milliseconds, so that every node has loaded it by then. */
const activationAgeMs = 7_200_000;
const firstRetryMs = 500;
const maxRetryMs = 30_000;
/** Shortest time between the last load and a reload for an unknown key, in milliseconds. */
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
		return Left(createFailure('platformMalformed', `object ${keysObjectKey} is not a valid list of signing keys`));
	}
}

/** Loads the keys at the start, when they are due to be rotated, and when terms name a key that this node does not know. */
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

	/** Lists the keys that valid terms may be signed with, newest first. */
	listKeys(): readonly SigningKey[] {
		return this.#state?.keys ?? [];
	}

	/** Returns the newest key that is old enough to sign, or else the oldest one; undefined until the keys have been loaded. */
	findSigningKey(now = Date.now()): SigningKey | undefined {
		const createdAt = this.#state?.document.keys.map(key => key.createdAt) ?? [];
		const index = createdAt.findIndex(at => at + activationAgeMs <= now);
		return this.#state?.keys.at(index);
	}

	/** Reloads the keys, at most once a minute, if the key that terms name is not known here. */
	loadForUnknownKey(keyId: string | undefined): void {
		const isKnown = keyId === undefined || this.listKeys().some(({id}) => id === keyId);
		if (!isKnown && !this.#isStopped && performance.now() - this.#lastLoadAt > unknownKeyReloadMs) {
			void this.load();
		}
	}

	/** Loads the keys, and creates or rotates them when that is due; retries with back-off after a failure. */
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

	/**
	 * Creates the first key. Another node may have done so first, or the answer may be lost, so the stored object is read
	 * after a failure and counts.
	 */
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
