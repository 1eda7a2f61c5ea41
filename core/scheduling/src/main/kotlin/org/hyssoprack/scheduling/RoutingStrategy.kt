package org.hyssoprack.scheduling

/** Ranks the backend servers of a pool for a request. */
internal interface RoutingStrategy {
    /** False if a request may wait only for the first server that was chosen. */
    val canWiden: Boolean

    /** Returns all of [candidates], the best for [entry] first. */
    fun rank(nowMs: Long, entry: EntryRequest, candidates: List<FleetServer>): List<RankedServer>
}
