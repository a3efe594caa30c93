/** Looks up the route of a request. */
import {Left, Right, type Either} from 'purify-ts';
import {createFailure, groupItems, type Failure} from '@limpetbarrow/core';
import {type Configuration, type Route} from '@limpetbarrow/releases';

const safeMethods: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS']);

/** The parts of a request that routes are matched against. */
export type RouteQuery = {
	/** Host without port, in lower case. */
	readonly host: string;
	readonly method: string;
	readonly path: string;
};

/** True when the request is idempotent by its route or its method, so that it may run twice. */
export function isRepeatable(route: Route, method: string): boolean {
	return route.isRepeatable || (route.ignoresMethod !== true && safeMethods.has(method));
}

function hasPathPrefix(path: string, prefix: string): boolean {
	const [pathname = ''] = path.split('?', 1);
	return prefix.endsWith('/') ? pathname.startsWith(prefix) : pathname === prefix || pathname.startsWith(`${prefix}/`);
}

function compareRoutes(a: Route, b: Route): number {
	const hostOrder = Number(a.host === '*') - Number(b.host === '*');
	return hostOrder || b.pathPrefix.length - a.pathPrefix.length || a.name.localeCompare(b.name);
}

/** The routes of one configuration, indexed by host. */
export class RouteTable {
	readonly #routesByHost: ReadonlyMap<string, readonly Route[]>;

	constructor(configuration: Configuration) {
		this.#routesByHost = groupItems([...configuration.routes.values()].toSorted(compareRoutes), ({host}) => host);
	}

	/**
	 * Finds the route with the longest matching path prefix; a named host takes precedence over `*`. Fails with
	 * `methodNotAllowed` when only the method doesn't match, and with `unknownRoute` otherwise.
	 */
	findRoute({host, method, path}: RouteQuery): Either<Failure, Route> {
		const matches = [...this.#routesByHost.get(host) ?? [], ...this.#routesByHost.get('*') ?? []].filter(({pathPrefix}) => hasPathPrefix(path, pathPrefix));
		const route = matches.find(({methods}) => methods.length === 0 || methods.includes(method));
		if (route) {
			return Right(route);
		}

		return Left(matches.length > 0
			? createFailure('methodNotAllowed', `${method} ${path}`)
			: createFailure('unknownRoute', `${host}${path}`));
	}
}
