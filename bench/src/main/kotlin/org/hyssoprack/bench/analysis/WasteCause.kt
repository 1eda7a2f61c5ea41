package org.hyssoprack.bench.analysis

/** Why prefill was wasted. */
enum class WasteCause {
    /** Cancelled to make room for a higher tier. */
    PREEMPTED,

    /** Cancelled since its deadline had passed. */
    DEADLINE,

    /** Cancelled by its caller, or for a reason that the hosts do not tell. */
    CANCELLED,

    /** Its connection was lost. */
    CONNECTION_LOST,

    /** Its engine died. */
    ENGINE_DIED,

    /** A shared prefix that had been processed before, on any engine, was processed again. */
    PREFIX_REPEATED
}
