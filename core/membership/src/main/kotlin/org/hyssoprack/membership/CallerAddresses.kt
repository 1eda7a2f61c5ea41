package org.hyssoprack.membership

import kotlin.random.Random
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.Region

/**
 * Chooses the addresses that callers get: near and lightly loaded hosts first, some of other
 * failure domains for the case that the near one is lost, and none that is leaving, suspected, or
 * without a bundle in force.
 *
 * @param limit number of addresses at most.
 */
class CallerAddresses(private val limit: Int = 12, private val random: Random = Random.Default) {
    /** The addresses for a caller near [domain] and [region], the best first. */
    fun choose(view: MemberView, domain: FailureDomain, region: Region): List<CallerAddress> {
        val alive = view.members.values.filter { it.state == MemberState.ALIVE }
        // A host that has no bundle in force refuses every request; it has just started.
        val ready = alive.filter { it.bundle > BundleVersion.NONE }.ifEmpty { alive }
        val ranked = ready.shuffled(random).sortedWith(
            compareBy({
                it.distance(domain, region)
            }, { it.loadStep() })
        )
        val (near, far) = ranked.partition { it.domain == domain }
        val farCount = minOf(far.size, maxOf(limit / FAR_SHARE, limit - near.size))
        val chosen = near.take(limit - farCount) + far.take(farCount)
        return chosen.map { CallerAddress(ref = it.ref, address = it.callerAddress) }
    }

    private fun Member.distance(domain: FailureDomain, region: Region): Int = when {
        this.domain == domain -> 0
        this.region == region -> 1
        else -> 2
    }

    // Coarse steps keep callers from all taking the one host whose load is lowest by a little.
    private fun Member.loadStep(): Int = load / LOAD_STEP_PERCENT

    private companion object {
        const val FAR_SHARE = 3
        const val LOAD_STEP_PERCENT = 25
    }
}
