/** Prints the table of `docs/design/fair-queueing.md`: `node packages/admission/dist/__tests__/fair-table.js [SEEDS]`. */
import process from 'node:process';
import {
	createSchedule, FairModel, mergeResults, type ModelResult,
} from './fair-model.js';

const seedCount = Number(process.argv[2] ?? 200);
const cases = [
	{name: 'usual load, by due time', surge: 1, isFair: false},
	{name: 'usual load, fair shares', surge: 1, isFair: true},
	{name: 'surge, by due time', surge: 7.5, isFair: false},
	{name: 'surge, fair shares', surge: 7.5, isFair: true},
];

function formatShare({sent, served}: ModelResult): string {
	return `${(served / sent * 100).toFixed(2)} %`;
}

function formatWaits({waitsMs, expectedMs}: ModelResult): string {
	const sorted = waitsMs.toSorted((a, b) => a - b);
	const mean = waitsMs.reduce((sum, waitMs) => sum + waitMs, 0) / waitsMs.length;
	return `${mean.toFixed(0)}, ${sorted[Math.floor(sorted.length * 0.95)]!.toFixed(0)}, ${(expectedMs / waitsMs.length).toFixed(0)} ms`;
}

process.stdout.write(`| ${seedCount} seeds | others served | worst seed | their waits: mean, 95 %, mean expected | large one served | its waits | its share of the work | slots busy |\n`);
process.stdout.write('| --- | --- | --- | --- | --- | --- | --- | --- |\n');
cases.forEach(({name, surge, isFair}) => {
	const played = Array.from({length: seedCount}, (_, index) => {
		const schedule = createSchedule(index + 1, {surge});
		const model = new FairModel(schedule, isFair).run();
		const small = mergeResults(schedule.organisations.slice(1).map(organisation => model.getResult(organisation.name)));
		return {small, large: model.getResult('large'), busyShare: model.busyMs / (schedule.slots * (schedule.surgeTo - schedule.surgeFrom))};
	});
	const small = mergeResults(played.map(one => one.small));
	const large = mergeResults(played.map(one => one.large));
	const worst = Math.min(...played.map(one => one.small.served / one.small.sent));
	const busyShare = played.reduce((sum, one) => sum + one.busyShare, 0) / seedCount;
	const cells = [
		name,
		formatShare(small),
		`${(worst * 100).toFixed(1)} %`,
		formatWaits(small),
		formatShare(large),
		formatWaits(large),
		(large.servedMs / (large.servedMs + small.servedMs)).toFixed(2),
		busyShare.toFixed(3),
	];
	process.stdout.write(`| ${cells.join(' | ')} |\n`);
});
