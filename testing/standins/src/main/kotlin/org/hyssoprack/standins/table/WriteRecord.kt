package org.hyssoprack.standins.table

import kotlinx.serialization.Serializable
import org.hyssoprack.store.RowKey

/**
 * One write in the log of the table service, in the order in which writes were decided.
 *
 * @property atMs wall-clock time in milliseconds since the epoch.
 * @property revision the row's revision after the write.
 * @property value the body after the write; null if the write deleted the row.
 * @property replyLost whether the sender got no answer.
 */
@Serializable
data class WriteRecord(
    val sequence: Long,
    val atMs: Long,
    val key: RowKey,
    val expected: Long,
    val applied: Boolean,
    val revision: Long,
    val value: String?,
    val replyLost: Boolean
)
