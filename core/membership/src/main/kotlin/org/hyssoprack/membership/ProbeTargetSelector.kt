package org.hyssoprack.membership

import kotlin.random.Random
import org.hyssoprack.common.HostId

/** Selects hosts in random round-robin order: each host once per round. */
internal class ProbeTargetSelector(private val random: Random) {
    private val remaining = ArrayDeque<HostId>()

    /** Returns the next of the [hosts] that matches [isCandidate]; null if there is none. */
    fun next(hosts: () -> List<HostId>, isCandidate: (HostId) -> Boolean): HostId? {
        val next = nextRemaining(isCandidate)
        if (next != null) return next
        remaining.addAll(hosts().shuffled(random))
        return nextRemaining(isCandidate)
    }

    private fun nextRemaining(isCandidate: (HostId) -> Boolean): HostId? {
        while (true) {
            val host = remaining.removeFirstOrNull() ?: return null
            if (isCandidate(host)) return host
        }
    }
}
