package org.hyssoprack.standins.table

import kotlinx.serialization.Serializable
import org.hyssoprack.store.RowKey

/**
 * One write in the log of the table service; the log is in the order in which writes were applied
 * or rejected.
 *
 * @property atMs wall-clock time in milliseconds since the epoch.
 * @property revision the row's revision after the write.
 * @property value the body to be written; null if the write deletes the row.
 * @property replyLost whether the client got no reply.
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
