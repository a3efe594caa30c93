/** Digests of the keys by which callers prove their organisation. */
import {createHash} from 'node:crypto';

/** Length of a digest in base64url characters: 132 bits. */
const digestLength = 22;

/** Hashes a key. Nodes keep and exchange digests only, so that no key gets into a log, a frame or a dump. */
export function hashKey(key: string): string {
	return createHash('sha256').update(key).digest('base64url').slice(0, digestLength);
}
