package org.hyssoprack.scheduling

/** Chooses among the backend servers of a pool. */
internal interface RoutingStrategy {
    /** False if a request waits for the first server chosen, and for no other. */
    val widens: Boolean

    /** All of [candidates], the best for [entry] first. */
    fun rank(nowMs: Long, entry: EntryRequest, candidates: List<FleetServer>): List<RankedServer>
}
