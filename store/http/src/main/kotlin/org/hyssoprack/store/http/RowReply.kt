package org.hyssoprack.store.http

import kotlinx.serialization.Serializable
import org.hyssoprack.store.Row

/** Response of the table service with one row; null if there is none. */
@Serializable
data class RowReply(val row: Row? = null)
