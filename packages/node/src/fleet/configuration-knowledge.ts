/** What this node knows of how current its configuration is. */
import {type LogFields} from '@limpetbarrow/core';
import {type Gossip, type MemberTable} from '@limpetbarrow/members';
import {type ConfigurationWatcher, type ReleaseState} from '@limpetbarrow/releases';
import {maxGossipSilenceMs} from './watcher-role.js';

/** Sources of the knowledge. */
export type ConfigurationKnowledgeOptions = {
	readonly table: MemberTable;
	readonly state: ReleaseState;
	readonly gossip: Pick<Gossip, 'getLastMessageAt'>;
	/** Returns the highest release that a proof of freshness names, 0 without any. */
	readonly getProvenRelease?: () => number;
	/** Returns the watcher, which may be created later. */
	readonly getWatcher: () => Pick<ConfigurationWatcher, 'getAnswerAgeMs' | 'isFailing' | 'isWatching'>;
};

/** Collects the knowledge for log lines and decisions. */
export class ConfigurationKnowledge {
	readonly #options: ConfigurationKnowledgeOptions;

	constructor(options: ConfigurationKnowledgeOptions) {
		this.#options = options;
	}

	/** Returns the newest release that is known to exist: named by another node's record, or by a proof of freshness. */
	getHeardRelease(): number {
		const {table, getProvenRelease = () => 0} = this.#options;
		return Math.max(table.getHeardRelease(), getProvenRelease());
	}

	/**
	 * True while a newer configuration may exist: another node names one, or neither the platform nor any other node has said
	 * anything lately.
	 */
	isOutdated(): boolean {
		const {state, getWatcher} = this.#options;
		return this.getHeardRelease() > state.getNumber() || (this.#getGossipAgeMs() > maxGossipSilenceMs && getWatcher().isFailing());
	}

	/** Returns the fields that explain which configuration this node has, and what it knows of others. Ages are in milliseconds. */
	toLogFields(): LogFields {
		const {table, state, getWatcher} = this.#options;
		const {members} = table.store.getState();
		const others = [...members.values()].filter(({record}) => record.id !== table.self.id);
		return {
			release: state.getNumber(),
			heard: this.getHeardRelease(),
			answerAgeMs: Math.round(getWatcher().getAnswerAgeMs()),
			gossipAgeMs: Math.round(this.#getGossipAgeMs()),
			isWatching: getWatcher().isWatching(),
			alive: others.filter(({status}) => status === 'alive').length,
			suspect: others.filter(({status}) => status === 'suspect').length,
		};
	}

	#getGossipAgeMs(): number {
		return performance.now() - this.#options.gossip.getLastMessageAt();
	}
}
