/** Fetches releases and configurations from the admin API of other nodes. */
import {
	EitherAsync, Left, Right, type Either,
} from 'purify-ts';
import {Agent} from 'undici';
import {
	createFailure, FailureError, formatAddress, type Failure,
} from '@limpetbarrow/core';
import {type MemberTable} from '@limpetbarrow/members';
import {
	parseConfiguration, parseRelease, ReleasePeers, type Configuration, type Release, type ReleasePeer,
} from '@limpetbarrow/releases';
import {parseJsonBody, readBoundedText} from '../operators/read-body.js';

const fetchTimeoutMs = 3000;
const maxAnswerBytes = 33_554_432;
const maxReleasesPerPage = 1000;
const statusGone = 410;

function parseReleases(value: unknown): Either<Failure, readonly Release[]> {
	return Array.isArray(value) && value.length <= maxReleasesPerPage
		? value.reduce<Either<Failure, readonly Release[]>>((releases, item) => releases.chain(earlier => parseRelease(item).map(release => [...earlier, release])), Right([]))
		: Left(createFailure('releaseUnreadable', 'the answer is not a list of releases within the length limit'));
}

/** Finds the other nodes in the member table and fetches from their admin addresses. */
export class HttpReleasePeers extends ReleasePeers {
	readonly #table: MemberTable;
	readonly #agent = new Agent({connections: 1, pipelining: 1});

	constructor(table: MemberTable) {
		super();
		this.#table = table;
	}

	override getSelfId(): string {
		return this.#table.self.id;
	}

	override listLive(): readonly ReleasePeer[] {
		return this.#table.listLive().map(({record}) => ({
			id: record.id, failureDomain: record.placement.failureDomain, release: record.release, isServing: record.state === 'serving',
		}));
	}

	override fetchReleases(peerId: string, after: number): EitherAsync<Failure, readonly Release[]> {
		return this.#fetch(peerId, `/releases?after=${after}`).chain(async value => parseReleases(value));
	}

	override fetchConfiguration(peerId: string): EitherAsync<Failure, Configuration> {
		return this.#fetch(peerId, '/releases/configuration').chain(async value => parseConfiguration(value));
	}

	async close(): Promise<void> {
		await this.#agent.destroy();
	}

	#fetch(peerId: string, path: string): EitherAsync<Failure, unknown> {
		return EitherAsync(async ({throwE}) => {
			try {
				return await this.#fetchJson(peerId, path);
			} catch (error) {
				return throwE(error instanceof FailureError ? error.failure : createFailure('linkUnreachable', `${peerId}: ${String(error)}`));
			}
		});
	}

	async #fetchJson(peerId: string, path: string): Promise<unknown> {
		const address = this.#table.findMember(peerId)?.record.adminAddress;
		if (!address) {
			throw new FailureError(createFailure('linkUnreachable', `${peerId} is not a known member`));
		}

		const answer = await this.#agent.request({
			origin: `http://${formatAddress(address)}`, path, method: 'GET', signal: AbortSignal.timeout(fetchTimeoutMs),
		});
		const text = await readBoundedText(answer.body, maxAnswerBytes);
		if (answer.statusCode === 200) {
			return parseJsonBody(text);
		}

		throw new FailureError(answer.statusCode === statusGone
			? createFailure('releaseGone', peerId)
			: createFailure('linkUnreachable', `${peerId}: status ${answer.statusCode}`));
	}
}
