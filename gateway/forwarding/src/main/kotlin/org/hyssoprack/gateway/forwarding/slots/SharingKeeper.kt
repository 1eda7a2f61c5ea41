package org.hyssoprack.gateway.forwarding.slots

import org.hyssoprack.common.Clock
import org.hyssoprack.common.HostId
import org.hyssoprack.serving.sharing.SharingState

/** Keeps the [SharingState]s of the slot owner on another host, for the first report to the next. */
internal class SharingKeeper(private val clock: Clock) {
    private var owner: HostId? = null
    private var states: List<SharingState> = emptyList()
    private var keptMs = 0L

    /** Keeps the states that [from] sent; most of its messages have none. */
    fun keep(from: HostId, sent: List<SharingState>) {
        if (sent.isEmpty()) return
        owner = from
        states = sent
        keptMs = clock.nowMs()
    }

    /** Returns what [to] needs to continue the work of another owner; empty if nothing is recent. */
    fun statesFor(to: HostId): List<SharingState> {
        val elapsedMs = clock.nowMs() - keptMs
        if (to == owner || elapsedMs > LIFETIME_MS) return emptyList()
        return states.map { it.after(elapsedMs) }
    }

    private companion object {
        // Callers return within a few seconds, and the shares change as fast.
        const val LIFETIME_MS = 5_000L
    }
}
