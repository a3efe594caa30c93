/**
 * The catalogue of all log events. docs/LOG-EVENTS.md contains the same table; a check ensures that they match.
 *
 * The ranges correspond to those of the result codes: 100 node, 200 links, 300 egress, 400 sequencer, 500 terms and limits,
 * 600 releases, 700 platform, 800 members and announcements.
 */

/** Severity of an event. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** One entry of the catalogue. */
export type LogEventEntry = {
	readonly number: number;
	readonly level: LogLevel;
	readonly meaning: string;
};

/** All log events by name. */
export const logEvents = {
	// Node
	nodeStarted: {number: 101, level: 'info', meaning: 'The node listens on its addresses.'},
	nodeStopping: {number: 102, level: 'info', meaning: 'A planned stop began.'},
	nodeStopped: {number: 103, level: 'info', meaning: 'The node has stopped.'},
	nodeStopForced: {number: 104, level: 'warn', meaning: 'The stop was cut short by an interrupt or its time limit, with requests in progress.'},
	requestFailed: {number: 105, level: 'debug', meaning: 'A request was refused or failed.'},
	unexpectedError: {number: 106, level: 'error', meaning: 'An unexpected error was caught.'},

	requestAnswered: {number: 107, level: 'info', meaning: 'A backend server\'s answer was delivered, after the attempts that are listed.'},
	requestRefused: {number: 108, level: 'info', meaning: 'A request was refused or failed, after the attempts that are listed.'},
	requestGivenUp: {number: 109, level: 'info', meaning: 'The caller disconnected, or its deadline passed, before an answer was complete.'},
	settingsApplied: {number: 110, level: 'info', meaning: 'The settings were read again; the settings that are named have changed.'},
	settingsNotApplied: {number: 111, level: 'warn', meaning: 'The settings could not be read again; the previous ones stay in force.'},
	requestUnknown: {number: 114, level: 'info', meaning: 'The configuration in force has no such route or key; the line says what this node knows of how current it is.'},
	processDelayed: {number: 115, level: 'info', meaning: 'A periodic timer of the process ran late by `ms`: until then the process handled nothing.'},
	logLinesDropped: {number: 112, level: 'warn', meaning: 'Log lines were dropped because the limits of the log were reached.'},
	callersClosed: {number: 113, level: 'warn', meaning: 'Connections were closed because the node holds too much for them or has too many; one line a second at most, with their number (`closed`).'},

	// Links
	linkOpened: {number: 201, level: 'info', meaning: 'A link session to another node began.'},
	linkReplaced: {number: 202, level: 'warn', meaning: 'A silent connection was replaced within its session.'},
	linkEnded: {number: 203, level: 'warn', meaning: 'A link session ended.'},
	frameRejected: {number: 204, level: 'warn', meaning: 'A frame could not be read; its connection was closed.'},

	// Egress
	serverEjected: {number: 301, level: 'warn', meaning: 'A backend server was judged to be failing and was ejected.'},
	serverReturned: {number: 302, level: 'info', meaning: 'An ejected backend server takes work again.'},
	poisonMarked: {number: 303, level: 'warn', meaning: 'A request was marked as poison.'},
	egressFailed: {number: 304, level: 'info', meaning: 'The egress refused a request, or its backend server failed it.'},
	serverRan: {number: 306, level: 'debug', meaning: 'A backend server ran a request; the outcome, and the gate\'s present estimate of the server\'s health.'},
	serverRanBadly: {number: 307, level: 'info', meaning: 'A backend server ran a request and failed it, or the deadline passed; the gate\'s present estimate of the server\'s health.'},
	sheddingChanged: {number: 308, level: 'info', meaning: 'A backend server began to reject a large part of its requests without running them, or accepts them again (`isShedding`).'},
	responseExceeded: {number: 309, level: 'info', meaning: 'A backend server sent bytes beyond the end of its response to the request; how many were received.'},
	serverLimitChanged: {number: 310, level: 'info', meaning: 'A backend server names the rate of requests that it takes, in requests a second; none is named any more where `limit` is missing.'},
	unframedResponseJudged: {number: 312, level: 'info', meaning: 'A response without a length ended; `reason` says what showed that its backend server\'s process outlived the end (`isProven`), or what spoke against it.'},
	departureHeard: {number: 311, level: 'info', meaning: 'A response said that its backend server leaves; this node sends that run of it nothing more.'},
	poisonCleared: {number: 313, level: 'info', meaning: 'A request that was marked as poison was answered, so its mark ended.'},
	poisonRestored: {number: 314, level: 'info', meaning: 'This node has the marks of poison requests again that its earlier process stored.'},
	poisonNotStored: {number: 315, level: 'warn', meaning: 'A change of this node\'s marks of poison requests is in force, but could not be stored; the node will retry.'},
	serverReplaced: {number: 305, level: 'warn', meaning: 'Another backend server was found at the address; the announced one is no longer used.'},

	// Sequencer
	keyDropped: {number: 401, level: 'debug', meaning: 'The stored outcome of a key expired.'},

	// Terms and limits
	keysLoaded: {number: 501, level: 'info', meaning: 'Signing keys of terms were loaded.'},
	keysNotLoaded: {number: 502, level: 'warn', meaning: 'Signing keys of terms could not be loaded; the known ones stay in use.'},
	termsIssued: {number: 503, level: 'debug', meaning: 'Terms were issued or renewed.'},

	// Releases
	releaseInForce: {number: 601, level: 'info', meaning: 'A release is in force on this node.'},
	releaseAccepted: {number: 602, level: 'info', meaning: 'An operator\'s release was accepted.'},
	releaseRefused: {number: 603, level: 'warn', meaning: 'An operator\'s release was refused.'},
	releaseUnreadable: {number: 604, level: 'error', meaning: 'A stored release could not be read; the node stays at the previous one.'},
	releaseFetchFailed: {number: 605, level: 'info', meaning: 'Another node did not send its releases.'},
	watchStarted: {number: 606, level: 'info', meaning: 'This node watches the platform for its failure domain.'},
	watchStopped: {number: 607, level: 'info', meaning: 'This node no longer watches the platform.'},
	snapshotWritten: {number: 608, level: 'info', meaning: 'A snapshot of the configuration was written.'},
	releasePartSkipped: {number: 610, level: 'warn', meaning: 'An entry of the configuration could not be read; the others are in force.'},
	proofLost: {number: 611, level: 'warn', meaning: 'The configuration is no longer proven fresh, so requests with keys are rejected; `ageMs` is the age of the last proof.'},
	proofRegained: {number: 612, level: 'info', meaning: 'The configuration is proven fresh again; `ms` is how long it was not.'},
	watchEnded: {number: 613, level: 'info', meaning: 'A watch for changes of the configuration ended after `ms`; `waitMs` is the time that it asked for.'},
	releaseHeard: {number: 614, level: 'info', meaning: 'Another node names a newer release than the one in force here (`release`); `heard` is the newest one named.'},
	snapshotFailed: {number: 609, level: 'warn', meaning: 'A snapshot could not be written; the release log has everything that it would contain.'},

	// Platform
	platformLost: {number: 701, level: 'warn', meaning: 'The object API does not answer.'},
	platformBack: {number: 702, level: 'info', meaning: 'The object API answers again.'},
	platformCallFailed: {number: 706, level: 'info', meaning: 'A call for the configuration failed; the next one follows after `retryMs`.'},

	discoveryFailed: {number: 703, level: 'warn', meaning: 'The list of nodes could not be read or written; the node will retry.'},
	discoveryDone: {number: 704, level: 'info', meaning: 'This node is in the list of nodes and has read it.'},

	storeRestored: {number: 705, level: 'warn', meaning: 'The object API has been restored from an older copy; what was kept of it is written and read again.'},

	// Members and announcements
	serverAnnounced: {number: 801, level: 'info', meaning: 'A backend server announced itself.'},
	serverLeft: {number: 802, level: 'info', meaning: 'A backend server announced that it is leaving.'},
	serverLapsed: {number: 803, level: 'warn', meaning: 'The announcement of a backend server expired.'},
	serverMoved: {number: 807, level: 'info', meaning: 'A backend server announced itself to another node under a higher generation.'},
	memberJoined: {number: 804, level: 'info', meaning: 'Another node became known.'},
	memberSuspected: {number: 805, level: 'info', meaning: 'Another node does not answer probes.'},
	announcementRefused: {number: 808, level: 'warn', meaning: 'An announcement was refused.'},
	leaveKept: {number: 809, level: 'info', meaning: 'The leave of a backend server was stored for later processes of this node, and acknowledged.'},
	leaveNotKept: {number: 810, level: 'warn', meaning: 'The leave of a backend server is in force, but could not be stored; it is not acknowledged.'},
	memberLost: {number: 806, level: 'warn', meaning: 'Another node was declared dead.'},
} as const satisfies Readonly<Record<string, LogEventEntry>>;

/** Name of a log event. */
export type LogEventName = keyof typeof logEvents;
