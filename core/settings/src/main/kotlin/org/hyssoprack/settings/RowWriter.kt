package org.hyssoprack.settings

import kotlinx.coroutines.delay
import org.hyssoprack.common.Failure
import org.hyssoprack.store.Row
import org.hyssoprack.store.RowKey
import org.hyssoprack.store.TableService
import org.hyssoprack.store.WriteResult

/**
 * Writes rows and settles lost replies.
 *
 * The same compare-and-set is sent again with the same expected revision: at most one of the two
 * can take effect, and a conflict shows the row as it is. A plain read would not do, since the first
 * write may still be on its way.
 */
internal class RowWriter(
    private val table: TableService,
    private val pause: suspend (Long) -> Unit = { delay(it) }
) {
    /**
     * Writes [value] if the revision is [expected]. [isOurs] tells whether a row that is found
     * instead stems from this very write. Never returns a conflict for a write that took effect and
     * is still in the row.
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

                is WriteResult.Conflict -> return settled(result, isOurs)

                is WriteResult.Refused -> if (lost == null) return result

                is WriteResult.Undecided -> lost = result.failure
            }
        }
        return WriteResult.Undecided(lost!!)
    }

    private fun settled(result: WriteResult.Conflict, isOurs: (Row) -> Boolean): WriteResult {
        val row = result.current ?: return result
        return if (isOurs(row)) WriteResult.Applied(row) else result
    }

    private companion object {
        val PAUSES_MS = longArrayOf(0, 100, 300, 900)
    }
}
