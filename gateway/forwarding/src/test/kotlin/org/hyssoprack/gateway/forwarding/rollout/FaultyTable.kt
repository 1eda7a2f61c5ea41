package org.hyssoprack.gateway.forwarding.rollout

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode
import org.hyssoprack.store.Row
import org.hyssoprack.store.RowKey
import org.hyssoprack.store.TableService
import org.hyssoprack.store.WriteResult

/** Table service in memory whose writes can be interrupted. */
internal class FaultyTable : TableService {
    val rows = LinkedHashMap<RowKey, Row>()
    private var revision = 0L

    /** Number of writes so far, those that did not take effect included. */
    var writes = 0
        private set

    var isAway = false

    /** Number of the write whose reply is lost. */
    var lostReply = 0

    /** Called with the number of each write before it and after it. */
    var beforeWrite: suspend (Int) -> Unit = {}
    var afterWrite: suspend (Int) -> Unit = {}

    fun put(key: RowKey, value: String) {
        rows[key] = Row(key, ++revision, value)
    }

    override suspend fun read(key: RowKey): Either<Failure, Row?> =
        if (isAway) AWAY.left() else rows[key].right()

    override suspend fun scan(table: String, prefix: String): Either<Failure, List<Row>> =
        rows.values.filter { it.key.table == table }.right()

    override suspend fun compareAndSet(key: RowKey, expected: Long, value: String): WriteResult {
        if (isAway) return WriteResult.Undecided(AWAY)
        val number = ++writes
        beforeWrite(number)
        if ((rows[key]?.revision ?: 0) != expected) return WriteResult.Conflict(rows[key])
        put(key, value)
        afterWrite(number)
        return if (number == lostReply) {
            WriteResult.Undecided(AWAY)
        } else {
            WriteResult.Applied(rows.getValue(key))
        }
    }

    override suspend fun compareAndDelete(key: RowKey, expected: Long): WriteResult =
        WriteResult.Conflict(rows[key])

    private companion object {
        val AWAY = Failure(ResultCode.STORE_UNAVAILABLE, "away")
    }
}
