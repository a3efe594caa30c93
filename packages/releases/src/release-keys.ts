/** Keys of the releases' objects in the platform's object API. */

/** Prefix of the keys that hold releases. */
export const releasePrefix = 'releases/';

/** Key of the object that names the newest snapshot. */
export const snapshotPointerKey = 'release-snapshots/latest';

/** Number of releases that one list reads. */
export const releasesPerBucket = 10;

const numberDigits = 9;
const bucketDigits = numberDigits - 1;

function formatNumber(number: number): string {
	return String(number).padStart(numberDigits, '0');
}

/** Key of a release. */
export function getReleaseKey(number: number): string {
	return `${releasePrefix}${formatNumber(number)}`;
}

/** Prefix that lists the bucket of releases a number belongs to. */
export function getBucketPrefix(number: number): string {
	return `${releasePrefix}${formatNumber(number).slice(0, bucketDigits)}`;
}

/** Key of the object that names the numbers a note was tried under. */
export function getAttemptsKey(noteId: string): string {
	return `release-notes/${noteId}`;
}

/** Key of one part of a note that is larger than one value. */
export function getNotePartKey(noteId: string, digest: string, index: number): string {
	return `release-parts/${noteId}/${digest}/${index}`;
}

/** Key of one part of a snapshot; `writer` keeps the parts of two writers apart. */
export function getSnapshotPartKey(number: number, writerId: string, index: number): string {
	return `release-snapshots/${formatNumber(number)}-${writerId}/${index}`;
}
