package org.hyssoprack.store

import kotlinx.serialization.Serializable

/**
 * One row as read from the table service.
 *
 * @property revision grows with each write of the row; the first write gives 1.
 * @property value the row's body, a JSON text.
 */
@Serializable
data class Row(val key: RowKey, val revision: Long, val value: String)
