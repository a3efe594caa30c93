/** Tests whether a process listens at an address. */
import {createConnection} from 'node:net';
import {type Address} from '@limpetbarrow/core';

/** Time in which the connection must be accepted or refused, in milliseconds; otherwise the result is unknown. */
const probeTimeoutMs = 500;

type ProbeResult = 'accepted' | 'refused' | 'unknown';

async function probeAddress({host, port}: Address): Promise<ProbeResult> {
	return new Promise(resolve => {
		const socket = createConnection({host, port, timeout: probeTimeoutMs});
		const finish = (result: ProbeResult): void => {
			socket.destroy();
			resolve(result);
		};

		socket.once('connect', () => {
			finish('accepted');
		});
		socket.once('timeout', () => {
			finish('unknown');
		});
		socket.once('error', (error: Error & {readonly code?: string}) => {
			finish(error.code === 'ECONNREFUSED' ? 'refused' : 'unknown');
		});
	});
}

/** True when a connection is refused, which is the case after the process has crashed. */
export async function isRefusingConnections(address: Address): Promise<boolean> {
	return await probeAddress(address) === 'refused';
}
