package org.hyssoprack.gateway.forwarding

import org.hyssoprack.common.EventLog
import org.hyssoprack.common.eq
import org.hyssoprack.gateway.ResponseMetadata
import org.hyssoprack.serving.placement.ServerState

/** Takes in what backend servers say in their answers about requests to come. */
internal class ServerStatusHandler(private val pools: ServerPools, private val log: EventLog) {
    /** Takes in the [facts] of an answer of [state]'s server. */
    fun take(state: ServerState, facts: ResponseMetadata) {
        val server = state.server
        if (facts.isLeaving && pools.markLeaving(server.run)) {
            log.event("server-leaves", "server" eq server.id, "bornMs" eq server.bornMs)
        }
        facts.closedMs?.let {
            state.closeFor(it)
            log.event("server-closed", "server" eq server.id, "forMs" eq it)
        }
        facts.unreadable?.let {
            log.event("server-header-unreadable", "server" eq server.id, "header" eq it)
        }
    }
}
