package org.hyssoprack.gateway.forwarding

import arrow.core.Either
import arrow.core.right
import kotlinx.coroutines.awaitCancellation
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode
import org.hyssoprack.store.Row
import org.hyssoprack.store.RowKey
import org.hyssoprack.store.TableService
import org.hyssoprack.store.WriteResult

/** Table service in memory that counts its writes and answers at once. */
internal class RecordingTable : TableService {
    val rows = LinkedHashMap<RowKey, Row>()
    var writes = 0
        private set

    /** Number of attempted writes. */
    var attempts = 0
        private set

    /** Whether writes are rejected. */
    var isRejecting = false

    /** Whether writes are neither applied nor answered. */
    var isLosingWrites = false

    override suspend fun read(key: RowKey): Either<Failure, Row?> = rows[key].right()

    override suspend fun scan(table: String, prefix: String): Either<Failure, List<Row>> =
        rows.values.toList().right()

    override suspend fun compareAndSet(key: RowKey, expected: Long, value: String): WriteResult {
        attempts++
        if (isLosingWrites) awaitCancellation()
        if (isRejecting) return WriteResult.Refused(Failure(ResultCode.STORE_LIMITED, "429"))
        val current = rows[key]
        if ((current?.revision ?: 0) != expected) return WriteResult.Conflict(current)
        writes++
        val row = Row(key = key, revision = expected + 1, value = value)
        rows[key] = row
        return WriteResult.Applied(row)
    }

    override suspend fun compareAndDelete(key: RowKey, expected: Long): WriteResult =
        WriteResult.Conflict(rows[key])
}
