/** Keys under which releases, notes and snapshots are stored in the platform's object API. */

/** Prefix of the keys of releases. */
export const releasePrefix = 'releases/';

/** Key of the object that points to the newest snapshot. */
export const snapshotPointerKey = 'release-snapshots/latest';

/** Number of releases that share a bucket; one list call reads one bucket. */
export const releasesPerBucket = 10;

const numberDigits = 9;
const bucketDigits = numberDigits - 1;

function formatNumber(number: number): string {
	return String(number).padStart(numberDigits, '0');
}

/** Returns the key of a release. */
export function getReleaseKey(number: number): string {
	return `${releasePrefix}${formatNumber(number)}`;
}

/** Returns the key prefix of the bucket that holds a release number. */
export function getBucketPrefix(number: number): string {
	return `${releasePrefix}${formatNumber(number).slice(0, bucketDigits)}`;
}

/** Returns the key of the object that records the release numbers under which a note was tried. */
export function getAttemptsKey(noteId: string): string {
	return `release-notes/${noteId}`;
}

/** Returns the key of one part of a note that is stored in parts. */
export function getNotePartKey(noteId: string, digest: string, index: number): string {
	return `release-parts/${noteId}/${digest}/${index}`;
}

/** Returns the key of one part of a snapshot; `writerId` keeps the parts of concurrent writers apart. */
export function getSnapshotPartKey(number: number, writerId: string, index: number): string {
	return `release-snapshots/${formatNumber(number)}-${writerId}/${index}`;
}
