package org.hyssoprack.store

import kotlinx.serialization.Serializable

/**
 * One row as read from the table service.
 *
 * @property revision increases with each write of the row; 1 after the first write.
 * @property value the row's body, a JSON text.
 */
@Serializable
data class Row(val key: RowKey, val revision: Long, val value: String)
