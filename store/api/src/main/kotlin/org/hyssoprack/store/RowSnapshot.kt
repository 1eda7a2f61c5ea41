package org.hyssoprack.store

/** The rows of a table at [revision]. */
data class RowSnapshot(val rows: List<FeedRow>, val revision: Long)
