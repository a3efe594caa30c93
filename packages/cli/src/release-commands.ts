/** Commands for operators: releases, members and backend servers. */
import {readFile} from 'node:fs/promises';
import {EitherAsync} from 'purify-ts';
import {type Argv} from 'yargs';
import {createFailure, type Failure} from '@limpetbarrow/core';
import {type Member} from '@limpetbarrow/members';
import {
	type AuditEntry, type AuditTrail, type FleetStatus, type NoteSummary,
} from '@limpetbarrow/node';
import {itemKinds} from '@limpetbarrow/releases';
import {AdminClient} from './admin-client.js';
import {applyEnvironment, type Environment} from './environment.js';
import {adminFlags, logFlags} from './flags.js';
import {
	formatAcceptedNote, formatCheckedNote, formatMembers, formatServers, formatStatus, formatAuditTrail, type ListedServer,
} from './format-reports.js';
import {reportResult} from './report-result.js';

/** Sets the exit code that `runCommandLine` resolves to. */
export type SetExitCode = (code: number) => void;

type AuditFilter = {
	readonly operator?: string | undefined;
	readonly item?: string | undefined;
};

const maxNoteBytes = 16_777_216;

/**
 * Reads a release note from a JSON file. Fails with `releaseInvalid` when the file cannot be read or parsed, and with
 * `bodyTooLarge` when its text is too long.
 */
export function readNote(file: string): EitherAsync<Failure, unknown> {
	return EitherAsync(async ({throwE}) => {
		try {
			const text = await readFile(file, 'utf8');
			return text.length > maxNoteBytes
				? throwE(createFailure('bodyTooLarge', `${file} has more than ${maxNoteBytes} bytes`))
				: JSON.parse(text) as unknown;
		} catch (error) {
			const isFailure = typeof error === 'object' && error !== null && 'resend' in error;
			return throwE(isFailure ? error as Failure : createFailure('releaseInvalid', `${file}: ${error instanceof SyntaxError ? 'not JSON: ' : ''}${(error as Error).message}`));
		}
	});
}

function isItemNamed({added, changed, withdrawn}: AuditEntry, item: string): boolean {
	return [added, changed, withdrawn].some(names => itemKinds.some(kind => names[kind].includes(item)));
}

/** Selects the entries of the audit trail that match a filter. */
export function selectEntries(trail: AuditTrail, {operator, item}: AuditFilter): AuditTrail {
	const entries = trail.entries
		.filter(entry => operator === undefined || entry.operator === operator)
		.filter(entry => item === undefined || isItemNamed(entry, item));
	return {...trail, entries};
}

function formatQueryString(values: Readonly<Record<string, number | undefined>>): string {
	const defined = Object.entries(values).filter(([, value]) => value !== undefined).map(([name, value]): [string, string] => [name, String(value)]);
	return new URLSearchParams(defined).toString();
}

/** Adds the commands `release check`, `apply`, `status` and `log`. */
export function addReleaseCommands(argv: Argv, environment: Environment, setExitCode: SetExitCode): Argv {
	const flags = applyEnvironment(adminFlags, environment);
	const file = {type: 'string', demandOption: true, describe: 'JSON file with the release note'} as const;
	return argv
		.command('check <file>', 'Check a release note; writes nothing', builder => builder.positional('file', file).options(flags), async ({file: path, admin, json}) => {
			const result = await readNote(path).chain(note => new AdminClient(admin).check('/releases/check', note)).run();
			setExitCode(reportResult(result, json, value => formatCheckedNote(value as NoteSummary)));
		})
		.command('apply <file>', 'Apply a release note', builder => builder.positional('file', file).options(flags), async ({file: path, admin, json}) => {
			const result = await readNote(path).chain(note => new AdminClient(admin).apply('/releases', note)).run();
			setExitCode(reportResult(result, json, value => formatAcceptedNote(value as AuditEntry)));
		})
		.command('status', 'Show the release in force on each node and who lags', builder => builder.options(flags), async ({admin, json}) => {
			setExitCode(reportResult(await new AdminClient(admin).fetch('/status').run(), json, value => formatStatus(value as FleetStatus)));
		})
		.command('log', 'Show the audit trail', builder => builder.options(applyEnvironment(logFlags, environment)), async ({admin, json, after, limit, operator, item}) => {
			const result = await new AdminClient(admin).fetch(`/releases/log?${formatQueryString({after, limit})}`)
				.map(trail => selectEntries(trail as AuditTrail, {operator, item}))
				.run();
			setExitCode(reportResult(result, json, formatAuditTrail));
		})
		.demandCommand(1, 'name a command: check, apply, status or log');
}

/** Adds the commands `members` and `servers`. */
export function addFleetCommands(argv: Argv, environment: Environment, setExitCode: SetExitCode): Argv {
	const flags = applyEnvironment(adminFlags, environment);
	return argv
		.command('members', 'List the nodes one node knows', builder => builder.options(flags), async ({admin, json}) => {
			setExitCode(reportResult(await new AdminClient(admin).fetch('/members').run(), json, value => formatMembers(value as readonly Member[])));
		})
		.command('servers', 'List the backend servers one node knows', builder => builder.options(flags), async ({admin, json}) => {
			setExitCode(reportResult(await new AdminClient(admin).fetch('/servers').run(), json, value => formatServers(value as readonly ListedServer[])));
		});
}
