package org.hyssoprack.claims

/** Result of one attempt at a repair. */
internal enum class RepairResult {
    /** The row is repaired, or the state that the repair prevents can no longer occur. */
    SETTLED,

    /** The row changed concurrently or the reply was lost; the repair must be attempted again. */
    RETRY,

    /** The table service failed or refused the call. */
    STORE_UNAVAILABLE
}
