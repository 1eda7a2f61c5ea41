package org.hyssoprack.store

/**
 * The rows of a table at [revision].
 *
 * @property ageMs how long before the call the store had nothing newer, in milliseconds.
 */
data class RowSnapshot(val rows: List<FeedRow>, val revision: Long, val ageMs: Long = 0)
