package org.hyssoprack.gateway.forwarding

import org.hyssoprack.common.EventLog
import org.hyssoprack.common.eq
import org.hyssoprack.gateway.ResponseMetadata
import org.hyssoprack.serving.limits.ReportedRateLimit
import org.hyssoprack.serving.placement.ServerState

/**
 * Applies the status that backend servers report in their responses, which affects later requests.
 */
internal class ServerStatusHandler(private val pools: ServerPools, private val log: EventLog) {
    /** Applies the status in [metadata] of a response from the server of [state]. */
    fun handle(state: ServerState, metadata: ResponseMetadata) {
        val server = state.server
        if (metadata.isLeaving && pools.markLeaving(server.instance)) {
            log.event("server-leaves", "server" eq server.id, "bornMs" eq server.bornMs)
        }
        metadata.closedMs?.let {
            state.closeFor(it)
            log.event("server-closed", "server" eq server.id, "forMs" eq it)
        }
        metadata.unreadable?.let {
            log.event("server-header-unreadable", "server" eq server.id, "header" eq it)
        }
    }

    /**
     * Applies the rate limit in [metadata] of the server's response to a request that was sent at
     * [sentMs]. Only a genuine response ends a limit. Returns whether the response speaks against a
     * limit, which the slot owner may still keep.
     */
    fun handleRateLimit(state: ServerState, metadata: ResponseMetadata, sentMs: Long): Boolean {
        val instance = state.server.instance
        return when (val limit = metadata.rateLimit) {
            is ReportedRateLimit.PerSecond -> {
                pools.limits.recordNamed(instance, limit.perS)
                false
            }

            ReportedRateLimit.None -> {
                if (!metadata.isSealed || !pools.limits.isKnown(instance)) return false
                pools.limits.recordUnlimited(instance, sentMs)
                true
            }

            ReportedRateLimit.Invalid -> false
        }
    }
}
