/** Bounds of membership and announcements. */

/** Time between two steps of the membership protocol, in milliseconds. */
export const gossipPeriodMs = 100;

/** Time between two probes of other members, in milliseconds. */
export const probePeriodMs = 1000;

/** Time after which a probe without an answer is tried through other members, in milliseconds. */
export const probeTimeoutMs = 300;

/** Members asked to probe for this node. */
export const maxIndirectProbers = 3;

/** A suspicion lasts this many probe periods for each power of ten of the fleet's size before it ends in death. */
export const suspicionProbePeriods = 4;

/** Members that get each batch of changes in one step. */
export const gossipFanout = 2;

/** Largest datagram, in bytes. */
export const maxDatagramBytes = 1200;

/** Bytes of changes that travel with a probe or its answer. */
export const piggybackBytes = 300;

/** Changes that wait to be passed on, at most. */
export const maxQueuedUpdates = 8192;

/** Sends of one change for each power of ten of the fleet's size, by priority. */
export const transmissionFactors = {low: 1, normal: 2, urgent: 4} as const;

/** Bytes of changes a node may send each second on average, and at once. */
export const gossipBytesPerSecond = 2000;
export const gossipBurstBytes = 8000;

/** Urgent changes go out until the budget is overdrawn by so many bytes. */
export const gossipOverdraftBytes = 16_000;

/** Time between two comparisons of digests with another member, in milliseconds. */
export const repairPeriodMs = 10_000;

/** Time between two comparisons while this node still lacks records, in milliseconds. */
export const catchUpPeriodMs = 200;

/** Buckets of a digest. */
export const digestBuckets = 64;

/** Bytes a node sends in answer to requests for records, each second and at once. */
export const repairBytesPerSecond = 32_000;
export const repairBurstBytes = 64_000;

/** Members whose records are asked for in one exchange. */
export const maxRequestsPerSummary = 24;

/** Time between two contacts to a seed or a dead member, in milliseconds. */
export const reconnectPeriodMs = 5000;

/** Time between two contacts to the seeds while no other member is known, in milliseconds. */
export const joinPeriodMs = 500;

/** Time a dead member is kept and tried, in milliseconds. */
export const deadRetentionMs = 3_600_000;

/** Runs of dropped members that are remembered, so that an old run does not come back. */
export const maxTombstones = 4096;

/** Members a node keeps, at most. */
export const maxMembers = 4096;

/** Parts of one record, at most. */
export const maxParts = 512;

/** Delay of a step above which the node concludes that it was paused, in milliseconds. */
export const pauseThresholdMs = 1000;

/** Highest score of the node's own health; timeouts grow with it. */
export const maxHealthScore = 8;

/** Time after which an announcement that was not renewed lapses, in milliseconds. */
export const announcementLeaseMs = 5000;

/** Time between two looks for lapsed announcements, in milliseconds. */
export const announcementSweepMs = 500;

/** Backend servers that one node takes, at most. */
export const maxAnnouncedServers = 256;

/** Backend servers of which a node remembers that they went elsewhere. */
export const maxMovedServers = 1024;
