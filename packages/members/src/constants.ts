/** Bounds of membership and announcements. */

/** Time between two gossip rounds, in milliseconds. */
export const gossipPeriodMs = 500;

/** Time after which an announcement that was not renewed lapses, in milliseconds. */
export const announcementLeaseMs = 5000;

/** Time without news after which a node counts as dead, in milliseconds. */
export const memberTimeoutMs = 5000;
