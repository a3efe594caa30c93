import {expect} from 'chai';
import {MetricRegistry} from '@limpetbarrow/core';
import {rankHomes} from '@limpetbarrow/limits';
import {MemberTable, type AnswerQuery, type PeerQueries} from '@limpetbarrow/members';
import {emptyConfiguration, ReleaseState, type KeyedOrganisation} from '@limpetbarrow/releases';
import {waitUntil} from '../pipeline-fixture.js';
import {QuotaExchange} from '../../callers/quota-exchange.js';
import {createSidecarRecord} from '../../fleet/sidecar-record.js';
import {type SidecarSettings} from '../../sidecar-settings.js';

const ids = ['a', 'b', 'c', 'd'] as const;
const organisation: KeyedOrganisation = {
	name: 'hule930', keyDigests: [], ratePerSecond: 1000, burst: 1000,
};

function createRecord(id: string): ReturnType<typeof createSidecarRecord> {
	const address = {host: '127.0.0.1', port: 1};
	return createSidecarRecord({
		id, region: 'r', failureDomain: 'z', link: address, gossip: address, ingress: address, metrics: address, readiness: address,
	} as unknown as SidecarSettings, 1);
}

/** Nodes whose questions are carried at once, but for those between the nodes named in `cut`. */
class Fleet {
	readonly cut = new Set<string>();
	readonly exchanges = new Map<string, QuotaExchange>();
	/** Questions as `asker>asked`. */
	asked: string[] = [];
	readonly #answers = new Map<string, AnswerQuery>();

	constructor() {
		ids.forEach(id => {
			const state = new ReleaseState();
			state.applyConfiguration({...emptyConfiguration, release: 1, keyedOrganisations: new Map([[organisation.name, organisation]])});
			const table = new MemberTable(createRecord(id), {
				members: new Map(ids.map(other => [other, {record: createRecord(other), status: 'alive'}])), entries: new Map(),
			});
			this.exchanges.set(id, new QuotaExchange({
				table, state, queries: this.#createQueries(id), metrics: new MetricRegistry(),
			}));
		});
	}

	/** Resolves to whether a request at the node gets a permit. */
	async takePermit(id: string): Promise<boolean> {
		let result: boolean | undefined;
		this.exchanges.get(id)!.takePermit(organisation, permit => {
			result = permit.isRight();
		});
		await waitUntil(() => result !== undefined);
		return result === true;
	}

	#createQueries(id: string): Pick<PeerQueries, 'ask' | 'registerTopic'> {
		return {
			registerTopic: (_topic, answer) => {
				this.#answers.set(id, answer);
				return () => undefined;
			},
			// eslint-disable-next-line max-params
			ask: (asked, _topic, body, timeoutMs, handleAnswer) => {
				this.asked.push(`${id}>${asked}`);
				let isAnswered = false;
				const finish = (answer: readonly unknown[] | undefined): void => {
					if (!isAnswered) {
						isAnswered = true;
						handleAnswer(answer);
					}
				};

				setTimeout(finish, timeoutMs, undefined);
				if (!this.cut.has(`${id}>${asked}`)) {
					const answer = this.#answers.get(asked)?.(body, {id}, finish);
					if (answer) {
						finish(answer);
					}
				}
			},
		};
	}
}

describe('questions for permits', () => {
	const [home, second] = rankHomes(organisation.name, [...ids], 2) as readonly [string, string];
	const other = ids.find(id => id !== home && id !== second);

	it('go to the home and are answered there', async () => {
		const fleet = new Fleet();
		expect(await fleet.takePermit(other!)).to.equal(true);
		expect(fleet.asked).to.deep.equal([`${other!}>${home}`]);
	});

	// Guards against a node that can't reach the home of an organisation and refuses what is within its quota.
	it('reach the home by way of the second-ranked node when the direct way is cut', async () => {
		const fleet = new Fleet();
		const asker = other;
		fleet.cut.add(`${asker!}>${home}`);
		expect(await fleet.takePermit(asker!)).to.equal(true);
		expect(fleet.asked.slice(-2)).to.deep.equal([`${asker!}>${second}`, `${second}>${home}`]);
	});

	it('are passed on once at most', async () => {
		const fleet = new Fleet();
		const asker = other;
		fleet.cut.add(`${asker!}>${home}`);
		fleet.cut.add(`${second}>${home}`);
		await fleet.takePermit(asker!);
		expect(fleet.asked.filter(question => question === `${second}>${home}`)).to.have.length.at.most(1);
	});
});
