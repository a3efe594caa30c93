/** Callers in the model of quotas. */
import {loadFactors, usualShare, type Organisation} from './quota-loads.js';

/** State of a node that callers see. */
type CalledNode = {
	readonly isAlive: boolean;
	readonly isLeaving: boolean;
};

/** What callers use of the fleet. */
export type CallerContext<Node extends CalledNode> = {
	readonly random: () => number;
	readonly setTimer: (delayMs: number, run: () => void) => void;
	readonly pickNode: () => Node;
	readonly sendRequest: (node: Node) => void;
};

/** Starts the callers of one organisation, which send for the whole run. */
export function startCallers<Node extends CalledNode>(organisation: Organisation, {random, setTimer, pickNode, sendRequest}: CallerContext<Node>): void {
	const {load, spread, rate, burst} = organisation;
	let targets = Array.from({length: spread === 'two' ? 2 : 1}, () => pickNode());
	const pickTarget = (): Node => {
		if (spread === 'all') {
			return pickNode();
		}

		targets = targets.map(target => target.isAlive && !target.isLeaving ? target : pickNode());
		return targets[Math.floor(random() * targets.length)]!;
	};

	if (spread === 'moving') {
		const dispatchElsewhere = (): void => {
			targets = [pickNode()];
			setTimer(300 + (random() * 2700), dispatchElsewhere);
		};

		setTimer(1000, dispatchElsewhere);
	}

	// Callers below the quota send only what an ideal bucket admits.
	const ideal = {permits: burst, at: 0};
	const updateIdeal = (): void => {
		const now = performance.now();
		ideal.permits = Math.min(burst, ideal.permits + ((now - ideal.at) * rate / 1000));
		ideal.at = now;
	};

	const isHot = load === 'hot' || load === 'lowered';
	const perS = rate * usualShare * loadFactors[load];
	// Fake timers count whole milliseconds, so several requests may be due at once.
	let dueAt = 0;
	const sendDue = (): void => {
		const now = performance.now();
		updateIdeal();
		while (dueAt <= now) {
			dueAt += -Math.log(1 - random()) * 1000 / perS;
			if (isHot || ideal.permits >= 1) {
				ideal.permits--;
				sendRequest(pickTarget());
			}
		}

		setTimer(dueAt - now, sendDue);
	};

	const sendBurst = (): void => {
		updateIdeal();
		const count = Math.max(0, Math.floor(ideal.permits * 0.8));
		ideal.permits -= count;
		Array.from({length: count}, () => random() * 50).forEach(delayMs => {
			setTimer(delayMs, () => {
				sendRequest(pickTarget());
			});
		});
		setTimer(2000 + (random() * 3000), sendBurst);
	};

	// Hot organisations start from their usual rate; one of three is silent before, so that its bucket is full.
	dueAt = isHot && random() < 0.33 ? 5000 : random() * 100;
	setTimer(dueAt, sendDue);
	if (load === 'bursts') {
		setTimer(1500, sendBurst);
	}
}
