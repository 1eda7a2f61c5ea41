package org.hyssoprack.store

/** A row of a table; [value] is null if the row was deleted. */
data class FeedRow(val key: String, val value: String?)
