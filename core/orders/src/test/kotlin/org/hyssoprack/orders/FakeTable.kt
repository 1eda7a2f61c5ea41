package org.hyssoprack.orders

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode
import org.hyssoprack.store.Row
import org.hyssoprack.store.RowKey
import org.hyssoprack.store.TableService
import org.hyssoprack.store.WriteResult

/** In-memory table service that can lose the reply to the next write. */
internal class FakeTable(private val step: suspend () -> Unit = {}) : TableService {
    private val down = Failure(ResultCode.STORE_UNAVAILABLE, "down")
    private val rows = HashMap<RowKey, Row>()

    /** If set, the next write loses its reply; it takes effect if this is true. */
    var loseReplyApplying: Boolean? = null

    /** Runs once, after the next write took effect and before its result is returned. */
    var afterWrite: suspend () -> Unit = {}

    override suspend fun read(key: RowKey): Either<Failure, Row?> {
        step()
        return rows[key].right()
    }

    override suspend fun scan(table: String, prefix: String): Either<Failure, List<Row>> =
        down.left()

    override suspend fun compareAndDelete(key: RowKey, expected: Long): WriteResult =
        WriteResult.Refused(down)

    override suspend fun compareAndSet(key: RowKey, expected: Long, value: String): WriteResult {
        step()
        val applying = loseReplyApplying
        loseReplyApplying = null
        if (applying == false) return WriteResult.Undecided(down)
        val result = apply(key, expected, value)
        val hook = afterWrite
        afterWrite = {}
        hook()
        step()
        return if (applying == true) WriteResult.Undecided(down) else result
    }

    private fun apply(key: RowKey, expected: Long, value: String): WriteResult {
        val current = rows[key]
        if ((current?.revision ?: 0) != expected) return WriteResult.Conflict(current)
        val row = Row(key = key, revision = expected + 1, value = value)
        rows[key] = row
        return WriteResult.Applied(row)
    }
}
