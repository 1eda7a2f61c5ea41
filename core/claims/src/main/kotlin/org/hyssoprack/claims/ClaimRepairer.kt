package org.hyssoprack.claims

import org.hyssoprack.store.Row
import org.hyssoprack.store.TableService
import org.hyssoprack.store.WriteResult

/** Carries out repairs, each only on a row of its own attempt or on the row that it expected. */
internal class ClaimRepairer(private val table: TableService) {
    suspend fun step(repair: ClaimRepair): RepairStep = table.read(repair.rowKey).fold(
        ifLeft = { RepairStep.STORE_DOWN },
        ifRight = { settle(repair, it) }
    )

    private suspend fun settle(repair: ClaimRepair, row: Row?): RepairStep {
        if (row != null && isClaimOf(repair, row)) return write(repair, row.revision)
        if (repair !is ClaimRepair.NotRun) return RepairStep.SETTLED
        // The claim may still take effect while the row is at the revision that it expected.
        val revision = row?.revision ?: 0
        return if (revision == repair.expected) write(repair, revision) else RepairStep.SETTLED
    }

    private fun isClaimOf(repair: ClaimRepair, row: Row): Boolean {
        val current = ClaimRow.of(row) ?: return false
        return current.attempt == repair.target.attempt && current.state == ClaimState.CLAIMED
    }

    private suspend fun write(repair: ClaimRepair, revision: Long): RepairStep =
        when (table.compareAndSet(repair.rowKey, revision, repair.target.toJson())) {
            is WriteResult.Applied -> RepairStep.SETTLED
            is WriteResult.Conflict, is WriteResult.Undecided -> RepairStep.OPEN
            is WriteResult.Refused -> RepairStep.STORE_DOWN
        }
}
