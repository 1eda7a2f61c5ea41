package org.hyssoprack.settings

import kotlinx.coroutines.delay
import org.hyssoprack.common.Failure
import org.hyssoprack.store.Row
import org.hyssoprack.store.RowKey
import org.hyssoprack.store.TableService
import org.hyssoprack.store.WriteResult

/**
 * Writes rows and resolves the outcome of writes whose reply was lost.
 *
 * Sends the same compare-and-set again with the same expected revision: at most one of the two can
 * take effect, and a conflict returns the current row. A plain read would not suffice, since the
 * first write may still be in flight.
 */
internal class RowWriter(
    private val table: TableService,
    private val pause: suspend (Long) -> Unit = { delay(it) }
) {
    /**
     * Writes [value] if the revision is [expected]. [isOurs] tells whether a conflicting row was
     * written by this very write. Never returns a conflict for a write that took effect and is
     * still in the row.
     */
    suspend fun write(
        key: RowKey,
        expected: Long,
        value: String,
        isOurs: (Row) -> Boolean
    ): WriteResult {
        var lost: Failure? = null
        for (pauseMs in PAUSES_MS) {
            if (pauseMs > 0) pause(pauseMs)
            when (val result = table.compareAndSet(key, expected, value)) {
                is WriteResult.Applied -> return result

                is WriteResult.Conflict -> return resolved(result, isOurs)

                is WriteResult.Refused -> if (lost == null) return result

                is WriteResult.Undecided -> lost = result.failure
            }
        }
        return WriteResult.Undecided(lost!!)
    }

    private fun resolved(result: WriteResult.Conflict, isOurs: (Row) -> Boolean): WriteResult {
        val row = result.current ?: return result
        return if (isOurs(row)) WriteResult.Applied(row) else result
    }

    private companion object {
        val PAUSES_MS = longArrayOf(0, 100, 300, 900)
    }
}
