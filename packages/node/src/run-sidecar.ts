/** Runs a sidecar node as a process: reads its settings file and handles signals and logs. */
import {readFile, stat} from 'node:fs/promises';
import process from 'node:process';
import {Left, type Either} from 'purify-ts';
import * as z from 'zod';
import {
	createDescriptorWriter, createFailure, foldResult, formatFailure, LineLogger, type Failure,
} from '@limpetbarrow/core';
import {runDaemon} from './run-daemon.js';
import {SidecarNode} from './sidecar-node.js';
import {type SidecarPlatform} from './sidecar-options.js';
import {reloadableSettings, listChangedSettings, type SidecarSettings} from './sidecar-settings.js';

/** Options that the adapter for a platform supplies. */
export type RunSidecarOptions = {
	readonly settingsPath: string;
	readonly parseSettings: (text: string) => Either<Failure, SidecarSettings>;
	/** Creates the protocols and stores of the platform whose object API has this base URL. */
	readonly createPlatform: (storeUrl: string) => SidecarPlatform;
};

const stdoutDescriptor = 1;
const failedExitCode = 1;
/** Time between two checks for a change of the settings file that no signal announced, in milliseconds. */
const settingsPollPeriodMs = 2000;
const logFlushTimeoutMs = 200;
const listenErrorCodes: ReadonlySet<unknown> = new Set(['EADDRINUSE', 'EACCES', 'EADDRNOTAVAIL', 'ENOTFOUND']);

async function readSettings({settingsPath, parseSettings}: RunSidecarOptions): Promise<Either<Failure, SidecarSettings>> {
	try {
		return parseSettings(await readFile(settingsPath, 'utf8'));
	} catch (error) {
		return Left(createFailure('settingsInvalid', `${settingsPath}: ${String(error)}`));
	}
}

/** Holds the settings in force and reloads them when the file changes. */
class SettingsFile {
	readonly #options: RunSidecarOptions;
	readonly #logger: LineLogger;
	#settings: SidecarSettings;
	#modifiedAt = 0;

	constructor(options: RunSidecarOptions, settings: SidecarSettings, logger: LineLogger) {
		this.#options = options;
		this.#settings = settings;
		this.#logger = logger;
	}

	getSettings(): SidecarSettings {
		return this.#settings;
	}

	/** Reloads the file if its modification time has changed since the last check. */
	async check(): Promise<void> {
		try {
			const {mtimeMs} = await stat(this.#options.settingsPath);
			const isChanged = this.#modifiedAt !== 0 && mtimeMs !== this.#modifiedAt;
			this.#modifiedAt = mtimeMs;
			if (isChanged) {
				await this.apply('changed');
			}
		} catch (error) {
			this.#logger.log('settingsNotApplied', {detail: String(error)});
		}
	}

	/** Reloads the file and applies the settings that a running node can change. */
	async apply(reason: string): Promise<void> {
		const result = await readSettings(this.#options);
		result.ifRight(next => {
			const changed = listChangedSettings(this.#settings, next);
			const applied = reloadableSettings.filter(name => changed.includes(name));
			this.#settings = {...this.#settings, ...Object.fromEntries(applied.map(name => [name, next[name]]))};
			this.#logger.setLevel(this.#settings.logLevel);
			this.#logger.log('settingsApplied', {
				reason, applied: applied.join(','), needsRestart: changed.filter(name => !(applied as readonly string[]).includes(name)).join(','),
			});
		}).ifLeft(({code, detail}) => {
			this.#logger.log('settingsNotApplied', {reason, code, detail});
		});
	}
}

async function runNode(options: RunSidecarOptions, settings: SidecarSettings): Promise<number> {
	const logger = new LineLogger(createDescriptorWriter(stdoutDescriptor), settings.logLevel, {node: settings.id});
	const settingsFile = new SettingsFile(options, settings, logger);
	const handleUnexpectedError = (error: unknown): void => {
		logger.log('unexpectedError', {detail: error instanceof Error ? error.stack ?? error.message : String(error)});
	};

	process.on('unhandledRejection', handleUnexpectedError);
	process.on('SIGHUP', () => {
		void settingsFile.apply('signal');
	});
	const poll = setInterval(() => {
		void settingsFile.check();
	}, settingsPollPeriodMs);
	try {
		const node = await SidecarNode.start({getSettings: () => settingsFile.getSettings(), platform: options.createPlatform(settings.platform), logger});
		await runDaemon({
			stop: async () => node.stop(),
			handleUnexpectedError,
			handleForcedStop() {
				logger.log('nodeStopForced');
			},
		});
		return 0;
	} catch (error) {
		const isListenError = listenErrorCodes.has((error as {readonly code?: unknown}).code);
		return reportFailure(createFailure(isListenError ? 'addressInUse' : 'internalError', String(error)));
	} finally {
		clearInterval(poll);
		await logger.drain(logFlushTimeoutMs);
	}
}

function reportFailure(failure: Failure): number {
	process.stderr.write(`${formatFailure(failure)}\n`);
	return failedExitCode;
}

/** Runs a sidecar node until a signal stops it; resolves to the exit code of the process. */
export async function runSidecar(options: RunSidecarOptions): Promise<number> {
	// Zod's generated validators pay off only after thousands of messages; until then, generating them takes half of all
	// the time spent on validation.
	z.config({jitless: true});
	const settings = await readSettings(options);
	return foldResult(settings, async failure => reportFailure(failure), async validSettings => runNode(options, validSettings));
}
