/** What serves one method and path of the admin API. */
import {EitherAsync, Left, Right} from 'purify-ts';
import {createFailure, type Failure} from '@limpetbarrow/core';

/** A request to the admin API. */
export type AdminRequest = {
	readonly query: URLSearchParams;
	readonly body: unknown;
	/** IP number the request came from. */
	readonly remoteHost: string;
};

/** Answers a request with a JSON value. */
export type AdminRoute = {
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly maxBodyBytes: number;
	readonly answer: (request: AdminRequest) => EitherAsync<Failure, unknown>;
};

/** A route without a body. */
export function createReadRoute(path: string, answer: AdminRoute['answer']): AdminRoute {
	return {
		method: 'GET', path, maxBodyBytes: 0, answer,
	};
}

/** A route that answers at once and cannot fail. */
export function createValueRoute(path: string, getValue: () => unknown): AdminRoute {
	return createReadRoute(path, () => EitherAsync.liftEither(Right(getValue())));
}

/** Reads a whole number from the query. */
export function parseCount(query: URLSearchParams, name: string, defaultValue: number): EitherAsync<Failure, number> {
	const text = query.get(name) ?? String(defaultValue);
	return EitherAsync.liftEither(/^\d{1,9}$/v.test(text)
		? Right(Number(text))
		: Left(createFailure('malformedRequest', `${name} is not a whole number`)));
}
