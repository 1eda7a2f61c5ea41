package org.hyssoprack.serving.sharing

import org.hyssoprack.common.FailureDomain
import org.hyssoprack.serving.limits.SlidingWindowSum

/**
 * Determines which failure domains have had less than their guaranteed minimum of the slot time of
 * one rank. The requests of a domain whose messages take longer are younger when they arrive, and
 * would otherwise always stand behind those of the other domains.
 */
internal class DomainMinimum {
    private val used = HashMap<FailureDomain, SlidingWindowSum>()

    fun recordGrant(domain: FailureDomain?, slotMs: Double, nowMs: Long) {
        if (domain == null) return
        used.getOrPut(domain) { SlidingWindowSum(WINDOW_MS) }.add(nowMs, slotMs)
    }

    /** Returns those of the domains in [waiting] that have had less than their minimum. */
    fun underserved(waiting: Set<FailureDomain>, nowMs: Long): List<FailureDomain> {
        val totals = used.mapValues { it.value.total(nowMs) }.filterValues { it > 0 }
        val active = (totals.keys + waiting).size
        if (active < 2) return emptyList()
        val minimumMs = totals.values.sum() * MIN_SHARE / active
        return waiting.filter { (totals[it] ?: 0.0) < minimumMs }
    }

    private companion object {
        // As long as the window of the ranks' reservations.
        const val WINDOW_MS = 2_000L

        // Share of an equal part. With a whole equal part, a domain with few callers would be
        // served before larger ones although its requests are not older.
        const val MIN_SHARE = 0.5
    }
}
