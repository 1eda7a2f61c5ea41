package org.hyssoprack.claims

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode
import org.hyssoprack.store.Row
import org.hyssoprack.store.RowKey
import org.hyssoprack.store.TableService
import org.hyssoprack.store.WriteResult

/** In-memory table service that refuses calls, loses replies and applies writes late. */
internal class FakeTable(
    private val random: Random,
    private val interleaver: Interleaver,
    private val scope: CoroutineScope
) : TableService {
    private val rows = HashMap<RowKey, Row>()
    private val down = Failure(ResultCode.STORE_UNAVAILABLE, "down")

    /** Share of calls that fail, from 0 to 1. */
    var faultShare = 0.0

    /** Writes that took effect, in order. */
    val log = ArrayList<Row>()

    fun rowNow(key: RowKey): Row? = rows[key]

    override suspend fun read(key: RowKey): Either<Failure, Row?> {
        interleaver.pause()
        val row = rows[key]
        interleaver.pause()
        return if (isFaulty()) down.left() else row.right()
    }

    override suspend fun scan(table: String, prefix: String): Either<Failure, List<Row>> =
        down.left()

    override suspend fun compareAndDelete(key: RowKey, expected: Long): WriteResult =
        WriteResult.Refused(down)

    override suspend fun compareAndSet(key: RowKey, expected: Long, value: String): WriteResult {
        interleaver.pause()
        if (isFaulty()) return fault { apply(key, expected, value) }
        val result = apply(key, expected, value)
        interleaver.pause()
        return result
    }

    private suspend fun fault(write: () -> WriteResult): WriteResult {
        when (random.nextInt(FAULT_KINDS)) {
            0 -> return WriteResult.Refused(down)
            1 -> write()
            2 -> applyLater(write)
            else -> Unit
        }
        interleaver.pause()
        return WriteResult.Undecided(down)
    }

    private fun applyLater(write: () -> WriteResult) {
        val steps = random.nextInt(MAX_LATE_STEPS)
        scope.launch {
            repeat(steps) { interleaver.pause() }
            write()
        }
    }

    private fun apply(key: RowKey, expected: Long, value: String): WriteResult {
        val current = rows[key]
        if ((current?.revision ?: 0) != expected) return WriteResult.Conflict(current)
        val row = Row(key = key, revision = expected + 1, value = value)
        rows[key] = row
        log.add(row)
        return WriteResult.Applied(row)
    }

    private fun isFaulty() = random.nextDouble() < faultShare

    private companion object {
        const val FAULT_KINDS = 4
        const val MAX_LATE_STEPS = 30
    }
}
