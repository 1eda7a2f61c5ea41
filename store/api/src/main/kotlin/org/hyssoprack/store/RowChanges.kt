package org.hyssoprack.store

/**
 * Rows that have changed, in the order of their changes.
 *
 * @property revision where to go on.
 * @property ageMs how long before the call the store had nothing newer, in milliseconds.
 * @property sinceStoreRecoveryMs how long ago the store came back for who read it; null if it was not away.
 */
data class RowChanges(
    val rows: List<FeedRow>,
    val revision: Long,
    val ageMs: Long = 0,
    val sinceStoreRecoveryMs: Long? = null
)
