package org.hyssoprack.serving.limits

import org.hyssoprack.common.Clock

/**
 * This host's part in keeping the request rate that one backend server accepts from all hosts
 * together. The slot owner grants at the server's rate, in proportion to the hosts that report to
 * it. A host that decides alone takes turns with the others at a lower rate.
 *
 * @property perS requests per second that the server accepts.
 * @param ownerShare share of the hosts that report to this one as the slot owner, from 0 to 1.
 * @param position this host's position among the hosts.
 * @param offset distinguishes servers; the same on all hosts.
 */
class ServerRateLimit(
    var perS: Double,
    clock: Clock,
    private val ownerShare: () -> Double,
    private val position: () -> HostPosition,
    offset: Int
) {
    private val bucket = TokenBucket(clock)
    private val turns = HostTurns(clock, offset)

    /** Requests per second that this host may grant or send. */
    val hostPerS: Double
        get() {
            val granted = grantedPerMs()
            return MS_PER_S * if (granted > 0) granted else alonePerMs() / position().count
        }

    /** Time until a request may be sent to the server, in milliseconds; 0 if one may now. */
    fun waitMs(): Long {
        val perMs = grantedPerMs()
        if (perMs > 0) return bucket.waitMs(perMs)
        bucket.clear()
        return turns.waitMs(alonePerMs(), position())
    }

    /** Counts a request that is about to be sent. */
    fun take() {
        val perMs = grantedPerMs()
        if (perMs > 0) bucket.take(perMs) else turns.take(alonePerMs())
    }

    /** Reverts [take] for a request that was not sent. */
    fun giveBack() {
        val perMs = grantedPerMs()
        if (perMs > 0) bucket.giveBack(perMs)
    }

    /** Rate at which this host grants as the slot owner; 0 if no host reports to it. */
    private fun grantedPerMs() = perS * ownerShare() / MS_PER_S

    private fun alonePerMs() = perS * ALONE_SHARE / MS_PER_S

    private companion object {
        const val MS_PER_S = 1_000.0

        // An owner may grant at the full rate while other hosts believe that it is silent, so these
        // use only a part of it between them.
        const val ALONE_SHARE = 1.0 / 3
    }
}
