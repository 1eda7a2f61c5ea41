package org.hyssoprack.claims

/** What one try of a repair came to. */
internal enum class RepairResult {
    /** The row can't change any more to what the repair is meant to prevent. */
    SETTLED,

    /** The row changed meanwhile, or a reply was lost; try again. */
    OPEN,

    /** The table service doesn't answer. */
    STORE_DOWN
}
