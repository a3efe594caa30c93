/** Runs a daemon until a signal stops it. */
import process from 'node:process';

const forcedExitCode = 1;

/** A long-running service and its handlers for signals and errors. */
export type Daemon = {
	/** Performs a planned stop. */
	readonly stop: () => Promise<void>;
	/** Called when an interrupt cuts the planned stop short, before the process exits. */
	readonly handleForcedStop: () => void;
	/** Called with an uncaught error, before the process exits. */
	readonly handleUnexpectedError?: (error: Error) => void;
};

/**
 * Resolves when the planned stop that SIGTERM or SIGINT starts has finished. SIGINT during a stop, or an uncaught error,
 * exits the process at once, with status 1. SIGTERM during a stop changes nothing, as supervisors may repeat it.
 */
export async function runDaemon(daemon: Daemon): Promise<void> {
	await new Promise<void>(resolve => {
		let isStopping = false;
		const handleSignal = (signal: NodeJS.Signals): void => {
			if (!isStopping) {
				isStopping = true;
				void daemon.stop().then(resolve);
			} else if (signal === 'SIGINT') {
				daemon.handleForcedStop();
				process.exit(forcedExitCode);
			}
		};

		process.on('uncaughtException', error => {
			daemon.handleUnexpectedError?.(error);
			// The log is written later; the process ends before.
			process.stderr.write(`${error.stack ?? error.message}\n`);
			process.exit(forcedExitCode);
		});
		process.on('SIGTERM', handleSignal);
		process.on('SIGINT', handleSignal);
	});
}
