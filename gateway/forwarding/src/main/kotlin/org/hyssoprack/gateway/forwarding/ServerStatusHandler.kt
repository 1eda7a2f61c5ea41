package org.hyssoprack.gateway.forwarding

import org.hyssoprack.common.EventLog
import org.hyssoprack.common.eq
import org.hyssoprack.gateway.ResponseMetadata
import org.hyssoprack.serving.placement.ServerState

/**
 * Applies the status that backend servers report in their responses, which affects later requests.
 */
internal class ServerStatusHandler(private val pools: ServerPools, private val log: EventLog) {
    /** Applies the status in [facts], the metadata of a response of [state]'s server. */
    fun handle(state: ServerState, facts: ResponseMetadata) {
        val server = state.server
        if (facts.isLeaving && pools.markLeaving(server.instance)) {
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
