import {expect} from 'chai';
import {countCauses, countLossesBySecond, findRequestResults} from '../../loss-causes.js';

function formatLine(fields: Readonly<Record<string, unknown>>): string {
	return `0.25 node-1 ${JSON.stringify({
		name: 'requestAnswered', time: '2026-01-01T00:00:00.500Z', request: '0123456789abcdef', service: 'desk', isRepeatable: true, status: 200, ...fields,
	})}`;
}

function findCauseOf(fields: Readonly<Record<string, unknown>>, others: readonly string[] = []): string | undefined {
	return findRequestResults([formatLine(fields), ...others])[0]?.cause;
}

describe('causes of losses in log lines', () => {
	const rows: ReadonlyArray<{readonly cause: string | undefined; readonly fields: Readonly<Record<string, unknown>>}> = [
		{cause: undefined, fields: {}},
		{cause: 'caller left', fields: {name: 'requestGivenUp', status: 0}},
		{cause: 'server error at a server believed healthy', fields: {status: 500, tries: 'a/host:3009@1 b/region:500@9'}},
		{cause: 'server error at a last resort', fields: {status: 500, tries: 'a/host:3009@1 b/region!:500@9'}},
		{cause: 'refused: no room in time', fields: {name: 'requestRefused', status: 503, tries: 'a/host:3004@1 pause@160'}},
		{cause: 'refused: no retry left', fields: {name: 'requestRefused', status: 503, tries: 'a/host:3010@1 b/region:3012@5'}},
		{cause: 'deadline', fields: {name: 'requestRefused', status: 504, tries: 'a/host:1010@400'}},
		{cause: 'no server known', fields: {name: 'requestRefused', status: 503, tries: ''}},
	];
	rows.forEach(({cause, fields}) => {
		it(`tell ${cause ?? 'that a request was served'}`, () => {
			expect(findCauseOf(fields)).to.equal(cause);
		});
	});

	it('lay the failure of a request on its call that failed', () => {
		const call = formatLine({
			request: '0123456789abcdef.1', service: 'bank', status: 500, tries: 'c/host:500@3',
		});
		expect(findCauseOf({status: 500, tries: 'a/host:500@9'}, [call])).to.equal('own call failed');
		expect(findRequestResults([formatLine({}), call])[1]?.kind).to.equal('bank call');
	});

	it('pass over what is no log line of a request', () => {
		expect(findRequestResults(['', 'sent to node-1', '{"name":"nodeStarted"}', '{broken'])).to.deep.equal([]);
	});

	it('are counted by kind, and the losses by second', () => {
		const results = findRequestResults([
			formatLine({}),
			formatLine({
				request: 'ffff456789abcdef', isRepeatable: false, status: 500, tries: 'a/host:500@9', time: '2026-01-01T00:00:02.600Z',
			}),
			formatLine({request: 'eeee456789abcdef', tries: 'a/host:3009@1 pause@150 b/region:200@400'}),
		]);
		expect(countCauses(results).get('desk order')).to.deep.equal(new Map([['server error at a server believed healthy', 1]]));
		expect(countCauses(results).get('desk read')).to.deep.equal(new Map([['served', 1], ['served, after a pause', 1]]));
		expect(countLossesBySecond(results)).to.deep.equal([0, 0, 1]);
	});
});
