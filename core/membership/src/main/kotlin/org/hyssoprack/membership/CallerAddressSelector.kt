package org.hyssoprack.membership

import com.google.common.hash.HashFunction
import com.google.common.hash.Hashing
import kotlin.math.ln
import kotlin.random.Random
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.Region

/**
 * Selects the host addresses that are given to callers: near and lightly loaded hosts first, and
 * some of other failure domains in case the near one fails. Excludes hosts that are leaving or
 * suspected, or that have no bundle in force.
 *
 * @param limit maximum number of addresses.
 * @param isDeterministic whether callers of one failure domain get the same addresses as long as
 *   the hosts stay the same. This suits callers that abandon connections to hosts which a new
 *   answer does not list.
 */
class CallerAddressSelector(
    private val limit: Int = 12,
    private val random: Random = Random.Default,
    private val isDeterministic: Boolean = false
) {
    /** Returns the addresses for a caller in [domain] and [region], best first. */
    fun choose(view: MemberView, domain: FailureDomain, region: Region): List<CallerAddress> {
        val alive = view.members.values.filter { it.state == MemberState.ALIVE }
        // A host that has just started has no bundle in force and rejects every request.
        val ready = alive.filter { it.bundle > BundleVersion.NONE }.ifEmpty { alive }
        val mixed = if (isDeterministic) {
            ready.sortedBy {
                it.rankKey(domain)
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
     * Sort key among equally ranked hosts, by weighted rendezvous hashing. It is the same in each
     * answer to callers of [domain]; hosts with more capacity come first more often.
     */
    private fun Member.rankKey(domain: FailureDomain): Double {
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

    // Coarse load steps prevent all callers from choosing the same host because its load is
    // slightly lower than that of the others.
    private fun Member.loadStep(): Int = load / LOAD_STEP_PERCENT

    private companion object {
        const val FAR_SHARE = 3
        val HASH: HashFunction = Hashing.murmur3_128()
        const val SEPARATOR = '\n'

        // Number of fraction bits of a Double, so that the hash converts exactly.
        const val HASH_BITS = 52
        const val HASH_SHIFT = Long.SIZE_BITS - HASH_BITS
        const val LOAD_STEP_PERCENT = 25
    }
}
