/** Periods, limits and sizes of the membership protocol and of announcements. */

/** Time between two steps of the membership protocol, in milliseconds. */
export const gossipPeriodMs = 100;

/** Time between two probes, in milliseconds; each goes to one other member. */
export const probePeriodMs = 1000;

/** Time without an answer after which a probe is repeated through other members, in milliseconds. */
export const probeTimeoutMs = 300;

/** Maximum number of members that are asked to send an indirect probe. */
export const maxIndirectProbers = 3;

/** Number of probe periods, times log10 of the fleet's size (at least 1), after which a suspected member is declared dead. */
export const suspicionProbePeriods = 4;

/** Number of members that receive the batch of updates of one step. */
export const gossipFanout = 2;

/** Maximum size of a datagram, in bytes. Only a single update that alone exceeds it is sent in a larger one. */
export const maxDatagramBytes = 1200;

/** Maximum size of the updates that are piggybacked on a ping or an ack, in bytes. */
export const piggybackBytes = 300;

/** Maximum number of updates in the send queue. */
export const maxQueuedUpdates = 8192;

/** Number of times an update is sent, per power of ten of the fleet's size, by priority. */
export const transmissionFactors = {low: 1, normal: 2, urgent: 4} as const;

/** Average rate at which a node may send updates, in bytes per second. */
export const gossipBytesPerSecond = 2000;

/** Number of bytes of updates that a node may send in one burst. */
export const gossipBurstBytes = 8000;

/** Number of bytes by which urgent updates may overdraw the budget for updates. */
export const gossipOverdraftBytes = 16_000;

/** Mean time between two digest exchanges with another member, in milliseconds. */
export const repairPeriodMs = 10_000;

/** Time between two digest exchanges while this node lacks records of other members, in milliseconds. */
export const catchUpPeriodMs = 200;

/** Number of hash buckets in a digest. */
export const digestBuckets = 64;

/** Average rate at which a node sends summaries and records during repair, in bytes per second. */
export const repairBytesPerSecond = 32_000;

/** Number of bytes of summaries and records that a node may send in one burst during repair. */
export const repairBurstBytes = 64_000;

/** Maximum number of records that are requested after one summary. */
export const maxRequestsPerSummary = 24;

/** Mean time between two pings to a seed or a dead member, which reconnect a partitioned fleet, in milliseconds. */
export const reconnectPeriodMs = 5000;

/** Time between two rounds of pings to all seeds and dead members while no live peer is known, in milliseconds. */
export const joinPeriodMs = 500;

/** Time for which a dead member is kept and still pinged, in milliseconds. */
export const deadRetentionMs = 3_600_000;

/** Maximum number of tombstones. A tombstone prevents late updates from bringing back an old run of a removed member. */
export const maxTombstones = 4096;

/** Maximum number of members in a node's table. */
export const maxMembers = 4096;

/** Maximum number of parts in one record. */
export const maxParts = 512;

/** Delay of a periodic step above which the node assumes that its process was paused, in milliseconds. */
export const pauseThresholdMs = 1000;

/** Maximum of the local health score. A higher score means worse health and longer timeouts. */
export const maxHealthScore = 8;

/** Time after which an announcement expires unless it is renewed, in milliseconds. */
export const announcementLeaseMs = 5000;

/** Time between two sweeps that remove expired announcements, in milliseconds. */
export const announcementSweepMs = 500;

/** Maximum number of backend servers that may announce themselves to one node. */
export const maxAnnouncedServers = 256;

/** Maximum number of backend servers for which a node remembers that they moved to another node. */
export const maxMovedServers = 1024;
