import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {expect} from 'chai';
import {
	MetricRegistry, SilentLogger, type PoisonMark, type RequestHead,
} from '@limpetbarrow/core';
import {
	PeerSummarySource, comparedPeerCount, priorBaseline, OutcomeRecorder, type ServerSummary,
} from '@limpetbarrow/detect';
import {Announcements} from '@limpetbarrow/members';
import {ReleaseState} from '@limpetbarrow/releases';
import {Egress, summariesPath} from '../../index.js';

class HealthyPeers extends PeerSummarySource {
	override async fetchSummaries(): Promise<readonly ServerSummary[]> {
		const now = performance.now();
		const recorder = new OutcomeRecorder();
		Array.from({length: 200}, (_, index) => now - 200 + index).forEach(at => {
			recorder.recordOutcome({at, kind: 'answered', durationMs: 5}, priorBaseline);
		});
		return Array.from({length: comparedPeerCount}, () => recorder.getSummary(now));
	}
}

type ExchangeResult = {
	readonly outcome: string;
	readonly body: string;
};

async function sendRequest(egress: Egress, head: Partial<RequestHead>): Promise<ExchangeResult> {
	return new Promise(resolve => {
		let status = 0;
		let body = '';
		const exchange = egress.openExchange({
			requestId: 'r',
			target: {kind: 'egress', serverId: 'server-1'},
			service: 'catalogue',
			method: 'GET',
			path: '/',
			headers: [],
			remainingMs: 5000,
			isRepeatable: true,
			organisation: '',
			...head,
		}, {
			handleHead(answer) {
				status = answer.status;
			},
			handleData(chunk) {
				body += new TextDecoder().decode(chunk);
			},
			handleCredit() {
				// The requests have no body.
			},
			handleEnd() {
				resolve({outcome: String(status), body});
			},
			handleFailure({name}) {
				resolve({outcome: name, body});
			},
		});
		exchange.endBody();
	});
}

async function sendRequests(egress: Egress, count: number): Promise<void> {
	if (count > 0) {
		await sendRequest(egress, {path: `/${count}`});
		await sendRequests(egress, count - 1);
	}
}

describe('egress', () => {
	let server: Server;
	let egress: Egress;
	let runs: number;
	let marks: readonly PoisonMark[];

	beforeEach(async () => {
		runs = 0;
		marks = [];
		server = createServer((request, response) => {
			runs++;
			if (request.url === '/crash') {
				server.close();
				server.closeAllConnections();
				return;
			}

			if (request.url?.startsWith('/unframed') === true) {
				response.useChunkedEncodingByDefault = false;
				response.shouldKeepAlive = false;
				response.write('part');
				if (request.url === '/unframed-crash') {
					server.close();
				}

				response.end();
				return;
			}

			response.writeHead(500);
			response.end();
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		const logger = new SilentLogger();
		const announcements = new Announcements(logger);
		egress = new Egress({
			announcements,
			releases: new ReleaseState(),
			baselineSource: new HealthyPeers(),
			listFleetMarks: () => marks,
			metrics: new MetricRegistry(),
			logger,
		});
		announcements.accept({
			id: 'server-1', service: 'catalogue', address: `127.0.0.1:${(server.address() as AddressInfo).port}`, slots: 3, generation: 1,
		}, '127.0.0.1');
	});

	afterEach(async () => {
		await egress.close();
		server.closeAllConnections();
		server.close();
	});

	it('publishes a newly announced server as warming', () => {
		expect(egress.listServers().map(({state}) => state)).to.deep.equal(['warming']);
	});

	it('ejects a server that fails requests, and still runs requests that other nodes send to it', async () => {
		await sendRequests(egress, 20);
		expect(egress.listServers().map(({state, badness}) => [state, badness > 0])).to.deep.equal([['ejected', true]]);
		const before = runs;
		expect(await sendRequest(egress, {isRepeatable: false})).to.deep.equal({outcome: '500', body: ''});
		expect(runs).to.equal(before + 1);
	});

	// Guards against a truncated response that is taken for a complete one when the backend server's process has crashed.
	it('fails a response without a length whose end the crash of its server may have caused', async () => {
		expect(await sendRequest(egress, {path: '/unframed-crash'})).to.include({outcome: 'serverBroke'});
	});

	it('takes a response without a length for complete while its server runs', async () => {
		expect(await sendRequest(egress, {path: '/unframed'})).to.deep.equal({outcome: '200', body: 'part'});
	});

	it('answers peers with summaries of servers that are not ejected', async () => {
		const head = {target: {kind: 'egress', serverId: ''}, path: summariesPath} as const;
		await sendRequest(egress, {});
		const {body} = await sendRequest(egress, head);
		expect((JSON.parse(body) as readonly ServerSummary[]).map(({normal}) => normal.requests)).to.deep.equal([1]);
		await sendRequests(egress, 20);
		const {body: bodyAfter} = await sendRequest(egress, head);
		expect(bodyAfter).to.equal('[]');
	});

	it('marks a request on which a server crashed, refuses it once a second server crashed on it, and resets the first server\'s health', async () => {
		const first = await sendRequest(egress, {path: '/crash'});
		expect(first.outcome).to.equal('serverBroke');
		while (egress.listPoison().length === 0) {
			// eslint-disable-next-line no-await-in-loop -- each turn lets the address probe proceed.
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}

		const [mark] = egress.listPoison();
		expect(mark?.serverIds).to.deep.equal(['server-1']);
		marks = [{...mark!, serverIds: ['server-2']}];
		egress.sweep();
		const second = await sendRequest(egress, {path: '/crash'});
		expect(second.outcome).to.equal('poisonRequest');
		expect(egress.listServers().map(({state}) => state)).to.deep.equal(['warming']);
	});
});
