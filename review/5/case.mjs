/** The open connections to the store go silent; then the configuration moves a route to another service. */
import {setTimeout as wait} from 'node:timers/promises';
import {answerWhole} from '../lib/backend.mjs';
import {createConfiguration, isTroubled, runCase} from '../lib/deployment.mjs';
import {formatRequest, RawClient} from '../lib/raw-client.mjs';

const contactMs = 4000;
const applyMs = 2500;
const watchMs = 9000;

function createVersion(version, service, timeoutMs) {
	return createConfiguration(version, ['desk', 'archive'], [{
		Name: 'r-view', PathPrefix: '/view/', Kind: 'safe', TimeoutMs: timeoutMs, TargetLatencyMs: 1000, Priority: 2, Service: service, MaxAttempts: 2,
	}]);
}

await runCase(new URL('.', import.meta.url), async deployment => {
	const runs = new Map();
	const createRun = service => context => {
		runs.set(context.id, service);
		answerWhole(context);
	};

	const places = ['a', 'b', 'c'].flatMap(letter => ['desk', 'archive'].map(service => ({
		zone: `zone-${letter}`, region: 'region-a', service, run: createRun(service),
	})));
	await deployment.start(createVersion(7, 'desk', 3000), places, {hasStoreRelay: true});
	deployment.store.write('config/main', createVersion(9, 'desk', 2800));
	deployment.record('operator: version 9 is acknowledged; it changes a timeout');
	await wait(1500);
	if (isTroubled) {
		const counts = deployment.machines.map(({storeRelay}) => storeRelay.silence());
		deployment.record(`the open connections to the store go silent: ${counts.join(', ')} of the machines`);
	}

	await wait(contactMs + 300);
	deployment.store.write('config/main', createVersion(12, 'archive', 2800));
	const acknowledgedAt = deployment.getElapsedMs();
	deployment.record('operator: version 12 is acknowledged; it moves the route from desk to archive');
	const sent = [];
	let number = 0;
	while (deployment.getElapsedMs() < acknowledgedAt + watchMs) {
		number++;
		const machine = deployment.machines[number % deployment.machines.length];
		const client = new RawClient(machine.ip, deployment.outboundPort);
		const id = `view-${String(number).padStart(4, '0')}`;
		const sentAt = deployment.getElapsedMs();
		client.send(formatRequest(id, `/view/${number}`, 3000));
		// eslint-disable-next-line no-await-in-loop
		await wait(100);
		client.close();
		deployment.record(`client on ${machine.name}: ${id}, sent ${Math.round(sentAt - acknowledgedAt)} ms after the acknowledgement, is run by ${runs.get(id)}`);
		sent.push({id, afterMs: sentAt - acknowledgedAt});
	}

	return sent.filter(({id, afterMs}) => afterMs > applyMs && runs.get(id) === 'desk').map(({id, afterMs}) => `CONFIG: ${id}, sent ${Math.round(afterMs)} ms after the acknowledgement, is run by the old service`);
});
