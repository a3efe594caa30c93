/** Binds HTTP servers. */
import {type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {type Address} from '@limpetbarrow/core';

/** Listens and resolves to the address bound; port 0 picks a free one. */
export async function listenServer(server: Server, {host, port}: Address): Promise<Address> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	return {host, port: (server.address() as AddressInfo).port};
}
