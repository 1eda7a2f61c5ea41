package org.hyssoprack.store

/**
 * The rows of a table at [position].
 *
 * @property ageMs age of the rows at the time of the call: time since the store last confirmed that
 *   it had nothing newer, in milliseconds.
 * @property sinceStoreRecoveryMs time since the store became reachable again for the host that
 *   read it, in milliseconds; null if there was no outage.
 * @property sinceResponseMs time since the store last responded to the host that read it, in
 *   milliseconds.
 */
data class RowSnapshot(
    val rows: List<FeedRow>,
    val position: StorePosition,
    val ageMs: Long = 0,
    val sinceStoreRecoveryMs: Long? = null,
    val sinceResponseMs: Long = 0
)
