package org.hyssoprack.store

/** Rows that have changed, in the order of their changes; [revision] is where to go on. */
data class RowChanges(val rows: List<FeedRow>, val revision: Long)
