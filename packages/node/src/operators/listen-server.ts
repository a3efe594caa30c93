/** Binds HTTP servers to addresses. */
import {type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {type Address} from '@limpetbarrow/core';

/** Listens on an address and resolves to the bound one; port 0 picks a free port. Rejects if the address can't be bound. */
export async function listenServer(server: Server, {host, port}: Address): Promise<Address> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	return {host, port: (server.address() as AddressInfo).port};
}
