/** The limpetbarrow command. */
import process from 'node:process';
import {readFile} from 'node:fs/promises';
import {type Either} from 'purify-ts';
import yargs, {type Argv} from 'yargs';
import {
	ConsolaLogger, foldResult, formatFailure, type Failure, parseAddress, type Address,
} from '@limpetbarrow/core';
import {
	LimpetbarrowNode, nodeFlags, parseSettings, type NodeSettings,
} from '@limpetbarrow/node';
import {BackendStandIn, PlatformStandIn} from '@limpetbarrow/stand-ins';
import {AdminClient} from './admin-client.js';
import {runDaemon} from './run-daemon.js';

/** Exit code after a failure that was reported. */
export const failureExitCode = 2;

const productVersion = '0.1.0';
const listenFlag = {type: 'string', default: '127.0.0.1:0', describe: 'Address, as host:port'} as const;
const adminFlag = {type: 'string', default: 'http://127.0.0.1:8081', describe: 'Base URL of any node\'s admin API'} as const;

function reportResult(result: Either<Failure, unknown>): number {
	return foldResult(
		result,
		failure => {
			process.stderr.write(`${formatFailure(failure)}\n`);
			return failureExitCode;
		},
		value => {
			process.stdout.write(`${JSON.stringify(value, null, 2)}\n`);
			return 0;
		},
	);
}

async function runNode(settings: NodeSettings): Promise<number> {
	const logger = new ConsolaLogger(settings.logForm, settings.logLevel, {node: settings.id});
	const node = new LimpetbarrowNode(settings, logger);
	const record = await node.start();
	process.stdout.write(`${JSON.stringify({ready: true, record})}\n`);
	await runDaemon({
		stop: async () => node.stop(),
		handleForcedStop() {
			logger.log('nodeStopForced');
		},
	});
	return 0;
}

async function runPlatform(address: Address): Promise<number> {
	const platform = new PlatformStandIn();
	const bound = await platform.listen(address.port, address.host);
	process.stdout.write(`${JSON.stringify({ready: true, address: bound})}\n`);
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
	const listen = parseAddress(flags.listen) ?? {host: '127.0.0.1', port: 0};
	const address = await backend.start(listen.port, listen.host);
	process.stdout.write(`${JSON.stringify({ready: true, address})}\n`);
	await runDaemon({stop: async () => backend.leave(), handleForcedStop: () => undefined});
	return 0;
}

async function readNote(file: string): Promise<unknown> {
	return JSON.parse(await readFile(file, 'utf8')) as unknown;
}

function addReleaseCommands(argv: Argv, finish: (code: number) => void): Argv {
	return argv
		.command('apply <file>', 'Apply a release note', builder => builder.positional('file', {type: 'string', demandOption: true}).options({admin: adminFlag}), async ({file, admin}) => {
			finish(reportResult(await new AdminClient(admin).send('/releases', await readNote(file)).run()));
		})
		.command('status', 'Show the release in force on each node and who lags', builder => builder.options({admin: adminFlag}), async ({admin}) => {
			finish(reportResult(await new AdminClient(admin).fetch('/status').run()));
		})
		.command('log', 'Show all releases', builder => builder.options({admin: adminFlag}), async ({admin}) => {
			finish(reportResult(await new AdminClient(admin).fetch('/releases').run()));
		})
		.demandCommand(1);
}

/** Runs the command that `args` name and resolves to its exit code. */
export async function runCommandLine(args: readonly string[]): Promise<number> {
	let code = 0;
	const finish = (next: number): void => {
		code = next;
	};

	await yargs([...args])
		.scriptName('limpetbarrow')
		.env('LIMPETBARROW')
		.version(productVersion)
		.strict()
		.command('node', 'Run a node', builder => builder.options(nodeFlags), async flags => {
			const settings = parseSettings(flags);
			finish(await foldResult(
				settings,
				async () => reportResult(settings),
				async checked => runNode(checked),
			));
		})
		.command('release', 'Apply and inspect releases', builder => addReleaseCommands(builder, finish))
		.command('members', 'List the nodes one node knows', builder => builder.options({admin: adminFlag}), async ({admin}) => {
			finish(reportResult(await new AdminClient(admin).fetch('/members').run()));
		})
		.command('servers', 'List the backend servers one node knows', builder => builder.options({admin: adminFlag}), async ({admin}) => {
			finish(reportResult(await new AdminClient(admin).fetch('/servers').run()));
		})
		.command('stand-in-platform', 'Run a stand-in for the platform', builder => builder.options({listen: listenFlag}), async ({listen}) => {
			finish(await runPlatform(parseAddress(listen) ?? {host: '127.0.0.1', port: 0}));
		})
		.command('stand-in-backend', 'Run a stand-in for a backend server', builder => builder.options({
			id: {type: 'string', demandOption: true, describe: 'Name of the backend server'},
			service: {type: 'string', demandOption: true, describe: 'Service it belongs to'},
			slots: {type: 'number', default: 3, describe: 'Requests it runs at a time'},
			listen: listenFlag,
			nodes: {type: 'string', demandOption: true, describe: 'Admin addresses of nodes to announce to, separated by commas'},
			'work-ms': {type: 'number', default: 5, describe: 'Time a run takes, in milliseconds'},
		}), async flags => {
			finish(await runBackend(flags));
		})
		.demandCommand(1)
		.fail((message, error) => {
			process.stderr.write(`${message ?? String(error)}\n`);
			finish(failureExitCode);
		})
		.exitProcess(false)
		.parseAsync();
	return code;
}
