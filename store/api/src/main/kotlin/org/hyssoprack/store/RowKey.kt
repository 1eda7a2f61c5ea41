package org.hyssoprack.store

import kotlinx.serialization.Serializable

/** Key of one row of the table service. */
@Serializable
data class RowKey(val table: String, val key: String)
