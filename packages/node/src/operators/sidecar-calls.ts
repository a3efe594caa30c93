/** Executes the calls of the host's backend server, the platform and operators to a sidecar node. */
import {EitherAsync, Right, type Either} from 'purify-ts';
import {
	type Address, type Failure, type Logger, type MetricRegistry,
} from '@limpetbarrow/core';
import {type AnnouncedServer, type Announcements, type LeftServers} from '@limpetbarrow/members';
import {type ReleaseState} from '@limpetbarrow/releases';
import {acceptHostAnnouncement} from '../fleet/host-announcement.js';
import {type StoreDiscovery} from '../fleet/store-discovery.js';
import {type ControlAnswer, type ControlCall} from './control-server.js';

/** What the calls read and change. */
export type SidecarCallsOptions = {
	readonly announcements: Announcements;
	readonly discovery: Pick<StoreDiscovery, 'recordDepartures'>;
	readonly releases: ReleaseState;
	readonly metrics: MetricRegistry;
	readonly logger: Logger;
	/** Address of the host's backend server; announcements of any other are refused. */
	readonly getServerAddress: () => Address;
	/** True while the node accepts callers. */
	readonly isReady: () => boolean;
};

/** Handles announcements and departures of backend servers, readiness checks and metrics. */
export class SidecarCalls {
	readonly #options: SidecarCallsOptions;

	constructor(options: SidecarCallsOptions) {
		this.#options = options;
	}

	/** Executes a call that came from an IP address. */
	handleCall(call: ControlCall, remoteHost: string): EitherAsync<Failure, ControlAnswer> {
		switch (call.kind) {
			case 'announce': {
				return EitherAsync.liftEither(this.#acceptAnnouncement(call.announcement, remoteHost))
					.chain(({id, generation, isLeaving}) => isLeaving ? this.#recordDepartures(new Map([[id, generation]])) : EitherAsync.liftEither(Right(undefined)))
					.map(() => createJsonAnswer(200));
			}

			case 'leave': {
				return this.#recordDepartures(this.#options.announcements.leave(call.serverId, call.generation)).map(() => createJsonAnswer(200));
			}

			case 'readiness': {
				return EitherAsync.liftEither(Right(createJsonAnswer(this.#options.isReady() ? 200 : 503)));
			}

			case 'metrics': {
				return EitherAsync.liftEither(Right({status: 200, contentType: 'text/plain; version=0.0.4', body: this.#options.metrics.formatReport()}));
			}
		}
	}

	/**
	 * Stores that backend servers have left. They stop receiving new requests before this call; the departure is acknowledged
	 * only once it is stored, so that the next process of this node honours it as well.
	 */
	#recordDepartures(left: LeftServers): EitherAsync<Failure, void> {
		const {discovery, logger} = this.#options;
		const servers = [...left].map(([id, generation]) => `${id}@${generation}`).join(',');
		return discovery.recordDepartures(left).ifRight(() => {
			logger.log('leaveKept', {servers});
		}).ifLeft(({code, detail}) => {
			logger.log('leaveNotKept', {servers, code, detail});
		});
	}

	#acceptAnnouncement(input: unknown, remoteHost: string): Either<Failure, AnnouncedServer> {
		const {announcements, releases, logger, getServerAddress} = this.#options;
		const {services} = releases.getConfiguration();
		return acceptHostAnnouncement(announcements, input, {serverAddress: getServerAddress(), remoteHost, services}).ifLeft(failure => {
			logger.log('announcementRefused', {code: failure.code, detail: failure.detail});
		});
	}
}

function createJsonAnswer(status: number): ControlAnswer {
	return {status, contentType: 'application/json', body: '{}'};
}
