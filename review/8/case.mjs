#!/usr/bin/env node
/** FLOOR: after its open connections to other nodes went silent, a node never again reaches sound backend servers. */
import {Buffer} from 'node:buffer';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {send} from '../lib-2/client.mjs';
import {createConfiguration, isDisrupted, runCase} from '../lib-2/run-case.mjs';

const [front, ledger] = ['fleet-desk', 'harvest-ledger'];
const hosts = [['volta-b', front], ['volta-a', front], ['volta-a', ledger], ['volta-b', ledger]].map(([zone, service]) => ({
	zone, region: 'volta', service, slots: 2,
}));
const configuration = createConfiguration([front, ledger], [{
	Name: 'r-payout', PathPrefix: '/payout/', Kind: 'non_idempotent', TimeoutMs: 2500, TargetLatencyMs: 800, Priority: 1, Service: ledger, MaxAttempts: 2,
}]);
/** Clients of the first host: so many send at the same time, and again a moment after the last answer. */
const clients = 8;
const thinkMs = 150;
const roundsBefore = 10;
/** Clients of the second host send one request after the other at this distance. */
const otherGapMs = 100;
const lastsMs = 30_000;
/** Bounds of the rule: disruption ends to count twice `ContactMs` later, `FloorShare`, and the shares of unserved requests. */
const soundAfterMs = 8000;
const floorShare = 0.7;
const windowMs = 2000;
const windowStepMs = 250;
const minUnserved = 0.1;
const maxUnserved = 0.5;

/** Returns what happened in one window, and whether it breaks the rule. */
const judgeWindow = (startsAt, sent, runs) => {
	const isWithin = at => at >= startsAt && at < startsAt + windowMs;
	const requests = sent.filter(({at}) => isWithin(at));
	const unserved = requests.filter(({status}) => status !== 200).length / Math.max(1, requests.length);
	const reached = new Set(runs.filter(({at}) => isWithin(at)).map(({id}) => id)).size;
	const backends = hosts.filter(({service}) => service === ledger).length;
	return {
		requests: requests.length, unserved: Number(unserved.toFixed(2)), reached, isBroken: reached > 0 && reached / backends < floorShare && unserved > minUnserved && unserved < maxUnserved,
	};
};

process.exit(await runCase(fileURLToPath(new URL('.', import.meta.url)), {hosts, configuration, hasRelays: true}, async deployment => {
	const [first, second] = deployment.hosts;
	const sent = [];
	const order = async (host, query) => {
		const at = Date.now();
		const result = await send({
			to: host.outbound, method: 'POST', path: `/payout/1?${query}`, body: Buffer.from('payout'), deadlineMs: 5000,
		});
		deployment.record('client', {node: host.name, ...result});
		sent.push({at, node: host.name, status: result.status});
	};

	const sendRound = async () => {
		await Promise.all(Array.from({length: clients}, async () => order(first, 'ms=250')));
	};

	const others = setInterval(() => {
		order(second, 'ms=40');
	}, otherGapMs);
	const play = async (round, silencedAt) => {
		if (silencedAt !== undefined && Date.now() - silencedAt > lastsMs) {
			return silencedAt;
		}

		await sendRound();
		const isDue = silencedAt === undefined && round >= roundsBefore;
		if (isDue && isDisrupted) {
			deployment.record('silence', deployment.hosts.map(({name, relay}) => ({to: name, connections: relay.silence()})));
		}

		const at = isDue ? Date.now() : silencedAt;
		await wait(thinkMs);
		return play(round + 1, at);
	};

	const silencedAt = await play(0, undefined);
	const endsAt = Date.now();
	clearInterval(others);
	await wait(3000);
	const runs = deployment.events.filter(({event}) => event === 'run');
	const count = Math.floor((endsAt - silencedAt - soundAfterMs - windowMs) / windowStepMs);
	const starts = Array.from({length: count}, (_, index) => silencedAt + soundAfterMs + (index * windowStepMs));
	const windows = starts.map(startsAt => judgeWindow(startsAt, sent, runs));
	const broken = windows.filter(({isBroken}) => isBroken);
	const afterwards = sent.filter(({at}) => at > silencedAt + soundAfterMs);
	const countServed = node => `${afterwards.filter(request => request.node === node && request.status === 200).length} of ${afterwards.filter(request => request.node === node).length}`;
	return {
		isBroken: broken.length > 0,
		windows: windows.length,
		brokenWindows: broken.length,
		example: broken[0] ?? windows[0],
		servedOfFirst: countServed(first.name),
		servedOfSecond: countServed(second.name),
	};
}));
