/** Runs a daemon until it is told to stop. */
import process from 'node:process';

const forcedExitCode = 1;

/** Something that runs until it is stopped. */
export type Daemon = {
	/** Stops as planned. */
	readonly stop: () => Promise<void>;
	/** Called when a second signal ends the stop. */
	readonly handleForcedStop: () => void;
	/** Called with an error that nothing caught, before the process ends. */
	readonly handleUnexpectedError?: (error: Error) => void;
};

/**
 * Resolves after SIGTERM or SIGINT and a planned stop; a second signal, or an error that
 * nothing caught, ends the process at once.
 */
export async function runDaemon(daemon: Daemon): Promise<void> {
	await new Promise<void>(resolve => {
		let isStopping = false;
		const handleSignal = (): void => {
			if (isStopping) {
				daemon.handleForcedStop();
				process.exit(forcedExitCode);
			}

			isStopping = true;
			void daemon.stop().then(resolve);
		};

		process.on('uncaughtException', error => {
			daemon.handleUnexpectedError?.(error);
			process.exit(forcedExitCode);
		});
		process.on('SIGTERM', handleSignal);
		process.on('SIGINT', handleSignal);
	});
}
