package org.hyssoprack.gateway.forwarding.slots

import org.hyssoprack.common.Clock
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.eq
import org.hyssoprack.gateway.forwarding.ServerPools
import org.hyssoprack.serving.sharing.SharingState

/**
 * Hands the shares and return calendars of the slot owner over to the next one, through a few other
 * hosts. If the messages are lost, the next owner starts with even shares.
 */
internal class SharingHandover(
    private val pools: ServerPools,
    private val clock: Clock,
    private val log: EventLog
) {
    private var inheritedMs = Long.MIN_VALUE / 2

    /** Returns [status] for each of [hosts], for some of them with the states to keep. */
    fun statuses(
        status: SlotMessage.OwnerStatus,
        hosts: Set<HostId>
    ): Map<HostId, SlotMessage.OwnerStatus> {
        val states = pools.sharing()
        if (states.isEmpty()) return hosts.associateWith { status }
        val full = status.copy(sharing = states)
        val keepers = keepers(hosts)
        return hosts.associateWith { if (it in keepers) full else status }
    }

    /** Takes the states of a previous owner from the first report that has them. */
    fun accept(from: HostRef, states: List<SharingState>) {
        val nowMs = clock.nowMs()
        if (states.isEmpty() || nowMs - inheritedMs < ONCE_MS) return
        inheritedMs = nowMs
        states.forEach { pools[it.service].inherit(it) }
        log.event(
            "sharing-inherited",
            "from" eq from,
            "services" eq states.size,
            "returns" eq states.sumOf { state -> state.expected.sumOf { it.count } },
            "ageMs" eq states.maxOf { it.ageMs }
        )
    }

    // Hosts at even distances in the order of names, so that those of one failure domain are
    // seldom all.
    private fun keepers(hosts: Set<HostId>): Set<HostId> {
        val step = (hosts.size / KEEPERS).coerceAtLeast(1)
        return hosts.sortedBy { it.value }.filterIndexed { i, _ -> i % step == 0 }.toSet()
    }

    private companion object {
        // The states are some kilobytes, too much for every host and second on a slow link.
        const val KEEPERS = 6

        // All hosts that keep the states send them when the owner changes.
        const val ONCE_MS = 10_000L
    }
}
