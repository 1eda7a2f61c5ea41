package org.hyssoprack.membership

import kotlin.random.Random
import org.hyssoprack.common.HostId

/** Gives out hosts in random order, each once before any comes again. */
internal class ProbeTargetSelector(private val random: Random) {
    private val rest = ArrayDeque<HostId>()

    /** The next of the [hosts] that [isCandidate] holds for; null if there is none. */
    fun next(hosts: () -> List<HostId>, isCandidate: (HostId) -> Boolean): HostId? {
        val next = nextOfRest(isCandidate)
        if (next != null) return next
        rest.addAll(hosts().shuffled(random))
        return nextOfRest(isCandidate)
    }

    private fun nextOfRest(isCandidate: (HostId) -> Boolean): HostId? {
        while (true) {
            val host = rest.removeFirstOrNull() ?: return null
            if (isCandidate(host)) return host
        }
    }
}
