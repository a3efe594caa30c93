/** Prints the figures of docs/design/quotas.md: `node packages/limits/dist/__tests__/quota-figures.js FIRST_SEED COUNT`. */
import process from 'node:process';
import {createRun, simulateQuotas} from './quota-model.js';

const [first = 0, count = 20] = process.argv.slice(2).map(Number);

Array.from({length: count}, (_value, index) => createRun(first + index)).forEach(run => {
	const {organisations, durationMs, messages, messagesOfBusiest, requests} = simulateQuotas(run);
	const seconds = durationMs / 1000;
	organisations.forEach(({organisation, load, spread, rate, burst, admitted, refused, excess, fullest, longestWaitMs}) => {
		process.stdout.write(`${JSON.stringify({
			...run, organisation, load, spread, rate, burst, admitted, refused, excess: Math.round(excess), fullest: Number(fullest.toFixed(3)), longestWaitMs: Math.round(longestWaitMs),
			messagesPerS: Math.round(messages / seconds), busiestPerS: Math.round(messagesOfBusiest / seconds), requestsPerS: Math.round(requests / seconds),
		})}\n`);
	});
});
