/** Bounds of what a node holds for others, derived from the memory and the descriptors of its process. */
import {getHeapStatistics} from 'node:v8';

/** Bounds of what a node holds for its callers. */
export type ResourceLimits = {
	/** Largest sum of what is held for all callers, in bytes. */
	readonly callerMemoryBytes: number;
	/** Bytes of requests in progress from which on a connection is not read further. */
	readonly connectionMemoryBytes: number;
	/** Largest number of callers' connections. */
	readonly maxCallerConnections: number;
	/** Largest number of connections to each address for backend servers, the platform and operators. */
	readonly maxControlConnections: number;
	/** Largest number of connections to the link address that have not sent their hello. */
	readonly maxPendingLinks: number;
};

/** What a process may use; undefined where it isn't known. */
export type ProcessResources = {
	readonly memoryBytes?: number | undefined;
	readonly maxDescriptors?: number | undefined;
};

/** Share of the heap, and of the process's memory, that callers may take. The rest is for the runtime, garbage, links and buffers. */
const heapShare = 0.25;
const memoryShare = 0.1;
/** Sixteen requests with ordinary heads stay below it; of larger ones, the next is read when one has ended. */
const connectionMemoryBytes = 262_144;
/** Descriptors that the platform keeps for files: so many, but no more than a share. */
const fileDescriptors = 200;
const fileDescriptorShare = 0.25;
/** Shares of the other descriptors. The rest is for links, the store and the backend server. */
const callerShare = 0.5;
const pendingLinkShare = 0.25;
const controlShare = 1 / 16;
/** Bounds of the same where there are more descriptors than are needed. */
const maxControlConnections = 64;
const maxPendingLinks = 1024;
const defaultMaxDescriptors = 4096;

/** Computes the default bounds. */
export function computeResourceLimits({memoryBytes = Number.POSITIVE_INFINITY, maxDescriptors = defaultMaxDescriptors}: ProcessResources = {}): ResourceLimits {
	const sockets = maxDescriptors - Math.min(fileDescriptors, maxDescriptors * fileDescriptorShare);
	return {
		callerMemoryBytes: Math.floor(Math.min(getHeapStatistics().heap_size_limit * heapShare, memoryBytes * memoryShare)),
		connectionMemoryBytes,
		maxCallerConnections: Math.max(1, Math.floor(sockets * callerShare)),
		maxControlConnections: Math.max(1, Math.min(maxControlConnections, Math.floor(sockets * controlShare))),
		maxPendingLinks: Math.max(1, Math.min(maxPendingLinks, Math.floor(sockets * pendingLinkShare))),
	};
}
