package org.hyssoprack.claims

import org.hyssoprack.store.RowKey

/** A change to the row of an attempt of this host that is not confirmed yet. */
internal sealed interface ClaimRepair {
    val rowKey: RowKey

    /** The row to write. */
    val target: ClaimRow

    /**
     * Marks the call of an attempt as not run, because the write of its claim was undecided or the
     * claim is not needed; the call is never dispatched. [expected] is the revision that the write
     * of the claim expected.
     */
    data class NotRun(
        override val rowKey: RowKey,
        override val target: ClaimRow,
        val expected: Long
    ) : ClaimRepair

    /** Records the outcome of a call that has ended. */
    data class Ended(override val rowKey: RowKey, override val target: ClaimRow) : ClaimRepair
}
