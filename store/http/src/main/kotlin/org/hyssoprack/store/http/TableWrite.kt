package org.hyssoprack.store.http

import kotlinx.serialization.Serializable
import org.hyssoprack.store.RowKey

/**
 * Body of a conditional write to the table service.
 *
 * @property expected revision that the row must have; 0 if the row must not exist.
 * @property value the new body; null deletes the row.
 */
@Serializable
data class TableWrite(val key: RowKey, val expected: Long, val value: String?)
