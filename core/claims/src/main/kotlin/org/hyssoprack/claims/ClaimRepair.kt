package org.hyssoprack.claims

import org.hyssoprack.store.RowKey

/** A change to the row of one attempt of this host that has not been seen to take effect yet. */
internal sealed interface ClaimRepair {
    val rowKey: RowKey

    /** The row as it shall be when the repair is done. */
    val target: ClaimRow

    /**
     * The attempt's claim was undecided or is not needed; its call is never dispatched.
     * [expected] is the revision that the claim's write expected.
     */
    data class NotRun(
        override val rowKey: RowKey,
        override val target: ClaimRow,
        val expected: Long
    ) : ClaimRepair

    /** The attempt's call has ended. */
    data class Ended(override val rowKey: RowKey, override val target: ClaimRow) : ClaimRepair
}
