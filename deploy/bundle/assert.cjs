/**
 * Replaces the runtime's `node:assert` in the sidecar's bundle. For the message of a failed assertion the runtime parses the
 * program's source, which takes seconds in a bundle of long lines; this one gives no message of its own.
 */
class AssertionError extends Error {
	name = 'AssertionError';
	code = 'ERR_ASSERTION';
}

function assert(isTrue, message) {
	if (!isTrue) {
		throw message instanceof Error ? message : new AssertionError(message ?? 'an assertion failed');
	}
}

// The libraries are CommonJS and call what they require.
module.exports = assert;
