package org.hyssoprack.membership

import com.google.common.hash.HashFunction
import com.google.common.hash.Hashing
import kotlin.math.ln
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
 * @param isDeterministic whether callers of one failure domain get the same addresses as long as the hosts
 *   stay the same, for callers that leave connections to hosts which a new answer does not name.
 */
class CallerAddressSelector(
    private val limit: Int = 12,
    private val random: Random = Random.Default,
    private val isDeterministic: Boolean = false
) {
    /** The addresses for a caller near [domain] and [region], the best first. */
    fun choose(view: MemberView, domain: FailureDomain, region: Region): List<CallerAddress> {
        val alive = view.members.values.filter { it.state == MemberState.ALIVE }
        // A host that has no bundle in force refuses every request; it has just started.
        val ready = alive.filter { it.bundle > BundleVersion.NONE }.ifEmpty { alive }
        val mixed = if (isDeterministic) {
            ready.sortedBy {
                it.place(domain)
            }
        } else {
            ready.shuffled(random)
        }
        val ranked = mixed.sortedWith(
            compareBy({ it.distance(domain, region) }, { it.loadStep() })
        )
        val (near, far) = ranked.partition { it.domain == domain }
        val farCount = minOf(far.size, maxOf(limit / FAR_SHARE, limit - near.size))
        val chosen = near.take(limit - farCount) + far.take(farCount)
        return chosen.map { CallerAddress(ref = it.ref, address = it.callerAddress) }
    }

    /**
     * Place among hosts that are as good, the same in each answer to callers of [domain]. Hosts of
     * more capacity come first more often, by weighted rendezvous hashing.
     */
    private fun Member.place(domain: FailureDomain): Double {
        val hash = HASH.newHasher()
            .putUnencodedChars(domain.value)
            .putChar(SEPARATOR)
            .putUnencodedChars(ref.host.value)
            .hash()
            .asLong()
        val uniform = ((hash ushr HASH_SHIFT) + 1).toDouble() / ((1L shl HASH_BITS) + 1)
        return -ln(uniform) / capacity.coerceAtLeast(1)
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
        val HASH: HashFunction = Hashing.murmur3_128()
        const val SEPARATOR = '\n'

        // As many bits as a fraction holds exactly.
        const val HASH_BITS = 52
        const val HASH_SHIFT = Long.SIZE_BITS - HASH_BITS
        const val LOAD_STEP_PERCENT = 25
    }
}
