package org.hyssoprack.store.http

import kotlinx.serialization.Serializable
import org.hyssoprack.store.Row

/** Answer of the table service to a scan, in the order of the keys. */
@Serializable
data class RowsReply(val rows: List<Row>)
