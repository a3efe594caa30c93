/** Starts the fleet's processes on loopback and ends them again. */
import process from 'node:process';
import {spawn, type ChildProcess} from 'node:child_process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';

const commandPath = fileURLToPath(new URL('../../cli/bin/limpetbarrow.js', import.meta.url));
const startTimeoutMs = 20_000;

/** A started process and the line it printed when it was ready. */
export type StartedProcess = {
	readonly child: ChildProcess;
	readonly ready: unknown;
};

/** Starts `limpetbarrow` with `args` and resolves when it is ready. */
export async function startProcess(args: readonly string[]): Promise<StartedProcess> {
	return startScript(commandPath, args);
}

/** Starts a Node.js script that prints one line of JSON when it is ready. */
export async function startScript(script: string, args: readonly string[]): Promise<StartedProcess> {
	const child = spawn(process.execPath, [script, ...args], {stdio: ['ignore', 'pipe', 'inherit']});
	const ready = await new Promise<unknown>((resolve, reject) => {
		const timer = setTimeout(() => {
			reject(new Error(`not ready in time: ${args.join(' ')}`));
		}, startTimeoutMs);
		createInterface({input: child.stdout}).once('line', line => {
			clearTimeout(timer);
			resolve(JSON.parse(line));
		});
		child.once('exit', code => {
			clearTimeout(timer);
			reject(new Error(`ended with ${code}: ${args.join(' ')}`));
		});
	});
	return {child, ready};
}

/** Sends a signal and resolves when the process has ended. */
export async function stopProcess({child}: StartedProcess, signal: NodeJS.Signals = 'SIGTERM'): Promise<number | undefined> {
	if (child.exitCode !== null || child.signalCode !== null) {
		return child.exitCode ?? undefined;
	}

	return new Promise(resolve => {
		child.once('exit', code => {
			resolve(code ?? undefined);
		});
		child.kill(signal);
	});
}
