package org.hyssoprack.store

import kotlinx.serialization.Serializable

/** Names one row of the table service. */
@Serializable
data class RowKey(val table: String, val key: String)
