/** Routes of the admin API, and the helpers that create them. */
import {EitherAsync, Left, Right} from 'purify-ts';
import {createFailure, type Failure} from '@limpetbarrow/core';

/** A request to the admin API. */
export type AdminRequest = {
	readonly query: URLSearchParams;
	readonly body: unknown;
	/** IP address that the request came from. */
	readonly remoteHost: string;
};

/** Serves one method and path; the answer is sent as JSON. */
export type AdminRoute = {
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly maxBodyBytes: number;
	readonly answer: (request: AdminRequest) => EitherAsync<Failure, unknown>;
};

/** Creates a GET route, which takes no request body. */
export function createReadRoute(path: string, answer: AdminRoute['answer']): AdminRoute {
	return {
		method: 'GET', path, maxBodyBytes: 0, answer,
	};
}

/** Creates a GET route that answers synchronously and cannot fail. */
export function createValueRoute(path: string, getValue: () => unknown): AdminRoute {
	return createReadRoute(path, () => EitherAsync.liftEither(Right(getValue())));
}

/** Parses a query parameter as a non-negative integer; fails with `malformedRequest` if it is anything else. */
export function parseCount(query: URLSearchParams, name: string, defaultValue: number): EitherAsync<Failure, number> {
	const text = query.get(name) ?? String(defaultValue);
	return EitherAsync.liftEither(/^\d{1,9}$/v.test(text)
		? Right(Number(text))
		: Left(createFailure('malformedRequest', `query parameter ${name} is not a non-negative integer of at most 9 digits`)));
}
