package org.hyssoprack.claims

import org.hyssoprack.store.Row
import org.hyssoprack.store.TableService
import org.hyssoprack.store.WriteResult

/** Writes repairs, each only over a row of its own attempt or at the revision that it expected. */
internal class ClaimRepairer(private val table: TableService) {
    suspend fun attempt(repair: ClaimRepair): RepairResult = table.read(repair.rowKey).fold(
        ifLeft = { RepairResult.STORE_UNAVAILABLE },
        ifRight = { settle(repair, it) }
    )

    private suspend fun settle(repair: ClaimRepair, row: Row?): RepairResult {
        if (row != null && isClaimOf(repair, row)) return write(repair, row.revision)
        if (repair !is ClaimRepair.NotRun) return RepairResult.SETTLED
        // The write of the claim may still take effect while the row is at the revision it
        // expected.
        val revision = row?.revision ?: 0
        return if (revision == repair.expected) write(repair, revision) else RepairResult.SETTLED
    }

    private fun isClaimOf(repair: ClaimRepair, row: Row): Boolean {
        val current = ClaimRow.of(row) ?: return false
        return current.attempt == repair.target.attempt && current.state == ClaimState.CLAIMED
    }

    private suspend fun write(repair: ClaimRepair, revision: Long): RepairResult =
        when (table.compareAndSet(repair.rowKey, revision, repair.target.toJson())) {
            is WriteResult.Applied -> RepairResult.SETTLED
            is WriteResult.Conflict, is WriteResult.Undecided -> RepairResult.RETRY
            is WriteResult.Refused -> RepairResult.STORE_UNAVAILABLE
        }
}
