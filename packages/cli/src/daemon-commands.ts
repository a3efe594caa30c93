/** Long-running commands: the node and the stand-ins. */
import process from 'node:process';
import {type Argv} from 'yargs';
import {
	ConsolaLogger, createFailure, foldResult, parseAddress, type Address,
} from '@limpetbarrow/core';
import {
	LimpetbarrowNode, nodeFlags, parseSettings, runDaemon, type NodeSettings,
} from '@limpetbarrow/node';
import {BackendStandIn, PlatformStandIn} from '@limpetbarrow/stand-ins';
import {applyEnvironment, type Environment} from './environment.js';
import {listenFlag} from './flags.js';
import {type SetExitCode} from './release-commands.js';
import {reportFailure} from './report-result.js';

const anyPort: Address = {host: '127.0.0.1', port: 0};
const listenErrorCodes: ReadonlySet<unknown> = new Set(['EADDRINUSE', 'EACCES', 'EADDRNOTAVAIL', 'ENOTFOUND']);

async function runNode(settings: NodeSettings): Promise<number> {
	const logger = new ConsolaLogger(settings.logForm, settings.logLevel, {node: settings.id});
	const node = new LimpetbarrowNode(settings, logger);
	try {
		const record = await node.start();
		process.stdout.write(`${JSON.stringify({ready: true, record})}\n`);
	} catch (error) {
		await node.close();
		if (listenErrorCodes.has((error as {readonly code?: unknown}).code)) {
			return reportFailure(createFailure('addressInUse', (error as Error).message));
		}

		throw error;
	}

	await runDaemon({
		stop: async () => node.stop(),
		handleUnexpectedError(error) {
			logger.log('unexpectedError', {detail: error.stack ?? error.message});
		},
		handleForcedStop() {
			logger.log('nodeStopForced');
		},
	});
	return 0;
}

async function runPlatform(address: Address): Promise<number> {
	const platform = new PlatformStandIn();
	const boundAddress = await platform.listen(address.port, address.host);
	process.stdout.write(`${JSON.stringify({ready: true, address: boundAddress})}\n`);
	await runDaemon({stop: async () => platform.close(), handleForcedStop: () => undefined});
	return 0;
}

type BackendFlags = {
	readonly id: string;
	readonly service: string;
	readonly slots: number;
	readonly listen: string;
	readonly nodes: string;
	readonly workMs: number;
};

async function runBackend(flags: BackendFlags): Promise<number> {
	const backend = new BackendStandIn({
		id: flags.id,
		service: flags.service,
		slots: flags.slots,
		workMs: flags.workMs,
		nodes: flags.nodes.split(',').map(text => parseAddress(text)).filter(address => address !== undefined),
	});
	const listen = parseAddress(flags.listen) ?? anyPort;
	const address = await backend.start(listen.port, listen.host);
	process.stdout.write(`${JSON.stringify({ready: true, address})}\n`);
	await runDaemon({stop: async () => backend.leave(), handleForcedStop: () => undefined});
	return 0;
}

/** Adds the command `node`. */
export function addNodeCommand(argv: Argv, environment: Environment, setExitCode: SetExitCode): Argv {
	return argv.command('node', 'Run a node', builder => builder.options(applyEnvironment(nodeFlags, environment)), async flags => {
		setExitCode(await foldResult(
			parseSettings(flags),
			async failure => reportFailure(failure),
			async settings => runNode(settings),
		));
	});
}

/** Adds the commands `stand-in-platform` and `stand-in-backend`. */
export function addStandInCommands(argv: Argv, setExitCode: SetExitCode): Argv {
	return argv
		.command('stand-in-platform', 'Run a stand-in for the platform', builder => builder.options({listen: listenFlag}), async ({listen}) => {
			setExitCode(await runPlatform(parseAddress(listen) ?? anyPort));
		})
		.command('stand-in-backend', 'Run a stand-in for a backend server', builder => builder.options({
			id: {type: 'string', demandOption: true, describe: 'Name of the backend server'},
			service: {type: 'string', demandOption: true, describe: 'Service it belongs to'},
			slots: {type: 'number', default: 3, describe: 'Requests it runs at a time'},
			listen: listenFlag,
			nodes: {type: 'string', demandOption: true, describe: 'Admin addresses of nodes to announce to, separated by commas'},
			'work-ms': {type: 'number', default: 5, describe: 'Time a run takes, in milliseconds'},
		}), async flags => {
			setExitCode(await runBackend(flags));
		});
}
