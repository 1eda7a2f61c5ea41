package org.hyssoprack.membership

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.util.concurrent.ConcurrentSkipListMap
import kotlinx.coroutines.delay
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode
import org.hyssoprack.store.Row
import org.hyssoprack.store.RowKey
import org.hyssoprack.store.TableService
import org.hyssoprack.store.WriteResult

/** Table service in memory whose faults are set by the test. */
internal class FakeTable : TableService {
    val rows = ConcurrentSkipListMap<String, Row>()
    var isDown = false
    var losesReply = false
    var losesWrites = false
    var writes = 0
    var writeDelayMs = 0L

    private val failure = Failure(ResultCode.STORE_UNAVAILABLE, "down")

    override suspend fun read(key: RowKey): Either<Failure, Row?> =
        if (isDown) failure.left() else rows[key.key].right()

    override suspend fun scan(table: String, prefix: String): Either<Failure, List<Row>> =
        if (isDown) failure.left() else rows.values.toList().right()

    override suspend fun compareAndSet(key: RowKey, expected: Long, value: String): WriteResult {
        delay(writeDelayMs)
        if (isDown) return WriteResult.Refused(failure)
        if (losesWrites) return WriteResult.Undecided(failure)
        val current = rows[key.key]
        if ((current?.revision ?: 0) != expected) return WriteResult.Conflict(current)
        writes++
        val row = Row(key = key, revision = expected + 1, value = value)
        rows[key.key] = row
        return if (losesReply) WriteResult.Undecided(failure) else WriteResult.Applied(row)
    }

    override suspend fun compareAndDelete(key: RowKey, expected: Long): WriteResult {
        if (isDown) return WriteResult.Refused(failure)
        val current = rows[key.key]
        if (current?.revision != expected) return WriteResult.Conflict(current)
        rows.remove(key.key)
        return WriteResult.Applied(current)
    }
}
