package org.hyssoprack.settings

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlin.random.Random
import kotlinx.coroutines.yield
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode
import org.hyssoprack.store.Row
import org.hyssoprack.store.RowKey
import org.hyssoprack.store.TableService
import org.hyssoprack.store.WriteResult

/**
 * Table service in memory that loses, refuses and delays calls at random, [faultPercent] of them.
 */
internal class FakeTable(private val random: Random = Random(1), var faultPercent: Int = 0) :
    TableService {
    val rows = HashMap<RowKey, Row>()
    var failsReads = false
    var repliesToLose = 0
    private val late = mutableListOf<() -> Unit>()

    /** Applies the writes that are still in flight. */
    fun applyLate() {
        late.forEach { it() }
        late.clear()
    }

    override suspend fun read(key: RowKey): Either<Failure, Row?> {
        pause()
        if (failsReads || isFaulty()) return FAILURE.left()
        return rows[key].right()
    }

    override suspend fun scan(table: String, prefix: String): Either<Failure, List<Row>> {
        pause()
        if (isFaulty()) return FAILURE.left()
        return rows.values.filter { it.key.table == table && it.key.key.startsWith(prefix) }
            .sortedBy { it.key.key }
            .right()
    }

    override suspend fun compareAndSet(key: RowKey, expected: Long, value: String): WriteResult {
        pause()
        if (repliesToLose > 0) {
            repliesToLose--
            write(key, expected, value)
            return WriteResult.Undecided(FAILURE)
        }
        if (!isFaulty()) return write(key, expected, value)
        when (random.nextInt(4)) {
            0 -> return WriteResult.Refused(FAILURE)
            1 -> write(key, expected, value)
            2 -> late += { write(key, expected, value) }
        }
        return WriteResult.Undecided(FAILURE)
    }

    override suspend fun compareAndDelete(key: RowKey, expected: Long): WriteResult {
        val row = rows[key]?.takeIf { it.revision == expected }
            ?: return WriteResult.Conflict(rows[key])
        rows -= key
        return WriteResult.Applied(row)
    }

    private fun write(key: RowKey, expected: Long, value: String): WriteResult {
        val current = rows[key]
        if ((current?.revision ?: 0) != expected) return WriteResult.Conflict(current)
        val row = Row(key = key, revision = expected + 1, value = value)
        rows[key] = row
        return WriteResult.Applied(row)
    }

    private suspend fun pause() {
        repeat(random.nextInt(3)) { yield() }
        if (late.isNotEmpty() && random.nextInt(3) == 0) late.removeFirst()()
    }

    private fun isFaulty() = random.nextInt(100) < faultPercent

    private companion object {
        val FAILURE = Failure(ResultCode.STORE_UNAVAILABLE, "fault")
    }
}
