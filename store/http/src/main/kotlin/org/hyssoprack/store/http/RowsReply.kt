package org.hyssoprack.store.http

import kotlinx.serialization.Serializable
import org.hyssoprack.store.Row

/** Response of the table service to a scan; rows are sorted by key. */
@Serializable
data class RowsReply(val rows: List<Row>)
