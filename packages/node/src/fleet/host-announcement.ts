/** Validates and accepts announcements from the one backend server of a host. */
import {Left, Right, type Either} from 'purify-ts';
import {
	createFailure, formatAddress, type Address, type Failure,
} from '@limpetbarrow/core';
import {type AnnouncedServer, type Announcements} from '@limpetbarrow/members';

/** What an announcement on this host must match. */
export type HostAnnouncementRules = {
	readonly serverAddress: Address;
	readonly remoteHost: string;
	/** Configured services; empty while no configuration is known, and then any service is accepted. */
	readonly services: ReadonlyMap<string, unknown>;
};

function checkHostAnnouncement(input: unknown, {serverAddress, services}: HostAnnouncementRules): Either<Failure, unknown> {
	const {address, service} = (input ?? {}) as {readonly address?: unknown; readonly service?: unknown};
	if (address !== formatAddress(serverAddress)) {
		return Left(createFailure('announcementForeign', `${String(address)} is not the address of this host's backend server`));
	}

	return services.size > 0 && !services.has(String(service))
		? Left(createFailure('announcementInvalid', `service ${String(service)} is not configured`))
		: Right(input);
}

/** Accepts an announcement, or returns `announcementForeign`, `announcementInvalid` or another reason for refusing it. */
export function acceptHostAnnouncement(announcements: Announcements, input: unknown, rules: HostAnnouncementRules): Either<Failure, AnnouncedServer> {
	return checkHostAnnouncement(input, rules).chain(announcement => announcements.accept(announcement, rules.remoteHost));
}
