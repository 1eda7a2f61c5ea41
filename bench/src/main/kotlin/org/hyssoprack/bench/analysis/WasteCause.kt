package org.hyssoprack.bench.analysis

/** Reasons why prefill was wasted. */
enum class WasteCause {
    /** Cancelled to make room for a higher tier. */
    PREEMPTED,

    /** Cancelled because its deadline had passed. */
    DEADLINE,

    /** Cancelled by its caller, or for a reason that the hosts do not log. */
    CANCELLED,

    /** The connection to the engine was lost. */
    CONNECTION_LOST,

    /** The engine terminated before the request ended. */
    ENGINE_DIED,

    /** A shared prefix was processed again although an engine had already processed it. */
    PREFIX_REPEATED
}
