package org.hyssoprack.claims

import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode
import org.hyssoprack.store.Row
import org.hyssoprack.store.TableService
import org.hyssoprack.store.WriteResult

/** One attempt to claim a call. It is granted only if the stored row is that of this attempt. */
internal class ClaimAttempt(
    private val key: ClaimKey,
    private val own: ClaimRow,
    private val table: TableService,
    private val maxAttempts: Int
) {
    private val rowKey = ClaimRow.keyOf(key)

    /** Revision that the last write expected if its result is undecided; null otherwise. */
    var undecided: Long? = null
        private set

    suspend fun run(): ClaimResult {
        var expected = 0L
        repeat(maxAttempts) {
            val current = when (val result = write(expected)) {
                is WriteResult.Applied -> return granted(result.row)
                is WriteResult.Refused -> return ClaimResultMapper.unavailable(result.failure)
                is WriteResult.Conflict -> result.current
                is WriteResult.Undecided -> return readBack(result.failure)
            }
            if (current != null) result(current)?.let { return it }
            expected = current?.revision ?: 0
        }
        return ClaimResultMapper.unavailable(
            Failure(
                code = ResultCode.STORE_UNAVAILABLE,
                detail = "The claim row changed before each of $maxAttempts writes."
            )
        )
    }

    private suspend fun write(expected: Long): WriteResult {
        undecided = expected
        val result = table.compareAndSet(rowKey, expected, own.toJson())
        if (result !is WriteResult.Undecided) undecided = null
        return result
    }

    private suspend fun readBack(cause: Failure): ClaimResult {
        val row = table.read(rowKey).fold({ return ClaimResultMapper.unavailable(it) }, { it })
            ?: return ClaimResultMapper.unavailable(cause)
        return result(row) ?: ClaimResultMapper.unavailable(cause)
    }

    private fun result(row: Row): ClaimResult? {
        val current = ClaimRow.of(row)
        if (current?.attempt == own.attempt) return granted(row)
        return ClaimResultMapper.result(current, own.bodyHash)
    }

    private fun granted(row: Row): ClaimResult {
        undecided = null
        return ClaimResult.Granted(
            Claim(
                key = key,
                attemptId = own.attempt,
                revision = row.revision,
                holder = own.holder,
                bodyHash = own.bodyHash
            )
        )
    }
}
