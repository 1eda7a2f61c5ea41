package org.hyssoprack.scheduling

/** Chooses among the backend servers of a pool. */
interface RoutingStrategy {
    /** All of [candidates], the best for [request] first. */
    fun rank(nowMs: Long, request: WaitingRequest, candidates: List<FleetServer>): List<FleetServer>
}
