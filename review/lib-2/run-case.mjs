#!/usr/bin/env node
/** Runs one case: starts a deployment, plays the case, and turns its verdict into an exit code. */
import path from 'node:path';
import process from 'node:process';
import {Deployment} from './deployment.mjs';

const timeLimitMs = 112_000;

// An error of the script itself must not look like a broken rule.
['uncaughtException', 'unhandledRejection'].forEach(event => {
	process.once(event, error => {
		process.stderr.write(`${String(error?.stack ?? error)}\n`);
		process.exit(2);
	});
});

/** True unless the case is to run without its disruption. */
export const isDisrupted = process.env.TROUBLE !== '0';

/** Limits of callers, as in the examples of the users' pages. */
export const limits = {
	MaxHeaderBytes: 16_384, MaxBodyBytes: 67_108_864, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000,
};

/** Creates a configuration with one host and these routes. */
export const createConfiguration = (services, routes, others = {}) => ({
	Version: 5,
	Services: services.map(name => ({
		Name: name, HealthPath: '/healthz', MaxConnections: 390, Protocol: 'h1', Tls: false,
	})),
	Limits: limits,
	BaseVersion: 4,
	VirtualHosts: [{Host: 'shop.example', Paths: routes}],
	...others,
});

/**
 * Plays a case. `play` resolves to `{isBroken, ...figures}`. Resolves to 1 if the rule was broken, 0 if it held, and 2 if the
 * case could not run.
 */
export const runCase = async (folder, settings, play) => {
	const recordPath = path.join(folder, 'record.txt');
	const timeLimit = new Promise((resolve, reject) => {
		setTimeout(() => {
			reject(new Error('the case took too long'));
		}, timeLimitMs).unref();
	});
	try {
		const deployment = await Promise.race([Deployment.start({...settings, recordPath}), timeLimit]);
		const verdict = await Promise.race([play(deployment), timeLimit]);
		deployment.record('verdict', {isDisrupted, ...verdict});
		process.stdout.write(`${JSON.stringify({isDisrupted, ...verdict})}\n`);
		return verdict.isBroken ? 1 : 0;
	} catch (error) {
		process.stderr.write(`${String(error?.stack ?? error)}\n`);
		return 2;
	}
};
