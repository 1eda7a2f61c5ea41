package org.hyssoprack.gateway.forwarding.rollout

import org.hyssoprack.common.Clock
import org.hyssoprack.rollout.RolloutOrder
import org.hyssoprack.rollout.RolloutState
import org.hyssoprack.rollout.RolloutStatus

/**
 * What this host knows of the roll-outs of one service. The order and the status come by separate
 * feeds, so a final status counts for the order that was known when it was read.
 */
internal class ServiceRollout(private val clock: Clock) {
    /** The newest order. */
    var order: SeenOrder? = null
        private set

    private var status: RolloutStatus? = null
    private var final: RolloutStatus? = null
    private var finalNumber = 0
    private val refused = HashSet<String>()

    /** Status in force; null if there was no roll-out. */
    val current: RolloutStatus?
        get() {
            val seen = order ?: return final ?: status
            val to = seen.order.to
            finalOf(to)?.let { return it }
            val known = status?.takeIf { it.to == to && (!it.state.isFinal || isOver(seen)) }
            return known ?: RolloutStatus(RolloutState.RUNNING, to)
        }

    /** Returns the final status of the newest order, if that is one to version [to]. */
    fun finalOf(to: String): RolloutStatus? = final?.takeIf { it.to == to && finalNumber == number }

    /** Returns whether a roll-out to [version] has failed and was not ordered again. */
    fun isRefused(version: String?): Boolean = version in refused

    /** Records an order. Returns whether it differs from the one before. */
    fun recordOrder(next: RolloutOrder, isLive: Boolean): Boolean {
        val before = order
        if (!isLive && before?.order == next) return false
        closeBefore(next)
        // The first order that is read with the whole table may be the one of a status read before.
        val isSame = before == null && !isLive
        order = SeenOrder(next, clock.nowMs(), isLive, if (isSame) number else number + 1)
        return true
    }

    /** Records a status. A final one is never reverted for the same order. */
    fun recordStatus(next: RolloutStatus) {
        status = next
        val isOfOrder = order?.let { it.order.to == next.to } ?: true
        if (!next.state.isFinal || !isOfOrder) return
        if (finalOf(next.to) != null) return
        final = next
        finalNumber = number
    }

    private val number: Int get() = order?.number ?: 0

    private fun closeBefore(next: RolloutOrder) {
        val before = current
        if (before?.state == RolloutState.ROLLED_BACK) refused += before.to
        refused -= next.to
    }

    // The status of an order that was read late may have been read before it.
    private fun isOver(seen: SeenOrder) = clock.nowMs() - seen.seenMs > seen.order.durationMs
}
