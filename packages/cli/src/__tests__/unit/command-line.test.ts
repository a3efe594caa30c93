import process from 'node:process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {expect} from 'chai';
import {formatAddress, SilentLogger, type Address} from '@limpetbarrow/core';
import {LimpetbarrowNode, parseSettings} from '@limpetbarrow/node';
import {PlatformStandIn} from '@limpetbarrow/stand-ins';
import {getVariableName, runCommandLine, type Environment} from '../../index.js';

type Output = {
	readonly code: number;
	readonly text: string;
	readonly errors: string;
};

/** Runs a command and captures its output. */
async function run(args: readonly string[], environment: Environment = {}): Promise<Output> {
	const {stdout, stderr} = process;
	const writeOut = stdout.write;
	const writeError = stderr.write;
	let text = '';
	let errors = '';
	stdout.write = chunk => {
		text += String(chunk);
		return true;
	};

	stderr.write = chunk => {
		errors += String(chunk);
		return true;
	};

	try {
		return {code: await runCommandLine(args, environment), text, errors};
	} finally {
		stdout.write = writeOut;
		stderr.write = writeError;
	}
}

describe('the command line', () => {
	const platform = new PlatformStandIn();
	let platformAddress: Address;
	let node: LimpetbarrowNode;
	let admin: string;
	let directory: string;
	let noteFile: string;

	async function writeNote(name: string, text: string): Promise<string> {
		const file = path.join(directory, name);
		await writeFile(file, text);
		return file;
	}

	before(async () => {
		directory = await mkdtemp(path.join(tmpdir(), 'limpetbarrow-cli-'));
		platformAddress = await platform.listen();
		const anyPort = '127.0.0.1:0';
		const settings = parseSettings({
			id: 'one',
			region: 'marmara',
			failureDomain: 'marmara-1',
			ingress: anyPort,
			admin: anyPort,
			link: anyPort,
			gossip: anyPort,
			seeds: '',
			platform: `http://${formatAddress(platformAddress)}`,
			stopTimeoutMs: 100,
			lameDuckMs: 0,
			logForm: 'text',
			logLevel: 'error',
		});
		node = new LimpetbarrowNode(settings.unsafeCoerce(), new SilentLogger());
		const {adminAddress} = await node.start();
		admin = `http://${formatAddress(adminAddress)}`;
		noteFile = await writeNote('note.json', JSON.stringify({
			id: 'first', operator: 'ayse', base: 0, added: {services: [{name: 'fitting-desk'}]},
		}));
	});

	after(async () => {
		await node.close();
		await platform.close();
		await rm(directory, {recursive: true});
	});

	describe('fails with a result code for', () => {
		const cases: ReadonlyArray<{readonly name: string; readonly args: () => readonly string[]; readonly errors: RegExp}> = [
			{name: 'no command', args: () => [], errors: /^9001 settingsInvalid: name a command/v},
			{name: 'an unknown command', args: () => ['bogus'], errors: /^9001 settingsInvalid: Unknown argument: bogus\n$/v},
			{name: 'an unknown flag', args: () => ['release', 'apply', noteFile, '--admin', admin, '--force'], errors: /^9001 settingsInvalid: Unknown argument: force\n$/v},
			{
				name: 'missing and invalid settings, listing all of them',
				args: () => ['node', '--id', 'a b', '--link', 'x', '--log-form', 'xml'],
				errors: /^9001 .*--id: .*--region: is required; --failure-domain: is required; --link: x is not host:port; --platform: is required; --log-form/v,
			},
			{name: 'a file that does not exist', args: () => ['release', 'apply', path.join(directory, 'none'), '--admin', admin], errors: /^6001 releaseInvalid: .*ENOENT/v},
			{name: 'a node that cannot be reached', args: () => ['members', '--admin', 'http://127.0.0.1:1'], errors: /^2001 linkUnreachable/v},
			{name: 'an address that is not a URL', args: () => ['members', '--admin', 'nonsense'], errors: /^9001 settingsInvalid: --admin/v},
			{name: 'an address that is not an admin API', args: () => ['members', '--admin', `http://${formatAddress(platformAddress)}`], errors: /^(?:1001|9005) /v},
			{name: 'a limit that is not a number', args: () => ['release', 'log', '--limit', 'x', '--admin', admin], errors: /^1001 malformedRequest/v},
		];
		cases.forEach(({name, args, errors}) => {
			it(name, async () => {
				const output = await run(args());
				expect(output.code).to.equal(2);
				expect(output.errors).to.match(errors);
			});
		});

		it('a file that is not JSON', async () => {
			const file = await writeNote('broken.json', '{"id":');
			const {code, errors} = await run(['release', 'check', file, '--admin', admin]);
			expect(code).to.equal(2);
			expect(errors).to.match(/^6001 releaseInvalid: .*not JSON/v);
		});
	});

	it('checks a release note without writing it, applies it, and shows it in the status and the audit trail', async () => {
		const flags = ['--admin', admin];
		const checked = await run(['release', 'check', noteFile, ...flags]);
		expect(checked.text).to.equal('note first is valid on release 0; nothing was written: added services fitting-desk\n');
		expect(platform.getHistory().filter(({key}) => key.startsWith('release')).length).to.equal(0);
		const applied = await run(['release', 'apply', noteFile, ...flags]);
		expect(applied.text).to.equal('release 1 is note first: added services fitting-desk\n');
		const status = await run(['release', 'status', ...flags]);
		expect(status.text).to.equal('release 1 in force on 1 of 1 nodes\nNODE  STATE    MEMBER  RELEASE\none   serving  alive   1\n');
		const log = await run(['release', 'log', '--operator', 'ayse', '--item', 'fitting-desk', '--json', ...flags]);
		expect((JSON.parse(log.text) as {readonly entries: readonly unknown[]}).entries.length).to.equal(1);
		const filtered = await run(['release', 'log', '--operator', 'kofi', ...flags]);
		expect(filtered.text).not.to.contain('ayse');
	});

	it('reports that a note was not accepted while the platform is down, and shows the node\'s copy of the audit trail', async () => {
		const file = await writeNote('second.json', JSON.stringify({
			id: 'second', operator: 'kofi', base: 1, added: {services: [{name: 'fleet-desk'}]},
		}));
		platform.setFaults({isDown: true});
		const refused = await run(['release', 'apply', file, '--admin', admin]);
		const log = await run(['release', 'log', '--admin', admin]);
		platform.setFaults({isDown: false});
		expect(refused.code).to.equal(2);
		expect(refused.errors).to.match(/^6003 releaseNotAccepted: nothing was written/v);
		expect(log.text).to.match(/^the platform does not answer; .*\n[^\n]*\n1 .*first/v);
	});

	it('reads only the environment variables of the flags of the command', async () => {
		const {code, text} = await run(['members'], Object.fromEntries([
			[getVariableName('admin'), admin],
			[getVariableName('json'), 'true'],
			['LIMPETBARROW_STOP_TIMEOUT_MS', '5'],
			['LIMPETBARROW_ANYTHING', 'x'],
		]));
		expect(code).to.equal(0);
		expect((JSON.parse(text) as readonly unknown[]).length).to.equal(1);
	});
});
