package org.hyssoprack.scheduling

import org.hyssoprack.common.HostRef
import org.hyssoprack.common.RequestId
import org.hyssoprack.common.TierRank
import org.hyssoprack.policy.QueueRule

/**
 * Orders the registered requests of one backend server: by tier, then resuming ones first, then fair
 * between flows by start-time fair queueing, then by the latest useful dispatch.
 *
 * The cost of a request is the expected time that it holds its slot, so that flows get equal shares
 * of slot time and not of requests.
 */
internal class RegistrationQueue(private val rule: QueueRule) {
    private val registrations = LinkedHashMap<RequestId, Registration>()
    private val tiers = HashMap<TierRank, FairOrder>()

    val size: Int get() = registrations.size

    fun all(): Collection<Registration> = registrations.values

    fun find(id: RequestId): Registration? = registrations[id]

    fun put(registration: Registration) {
        registrations[registration.requestId] = registration
    }

    fun remove(id: RequestId): Registration? = registrations.remove(id)

    fun removeOf(holder: HostRef) {
        registrations.values.removeIf { it.holder == holder }
    }

    fun removeLapsed(nowMs: Long) {
        registrations.values.removeIf { it.lapsesAtMs <= nowMs }
    }

    /** The registration that is next among those that [eligible] accepts, or null. */
    fun next(eligible: (Registration) -> Boolean): Registration? {
        val candidates = registrations.values.filter(eligible)
        if (candidates.isEmpty()) return null
        if (rule == QueueRule.ARRIVAL) return candidates.minBy { it.arrivedAtMs }
        val tier = candidates.minOf { it.tier }
        val ofTier = candidates.filter { it.tier == tier }
        val resuming = ofTier.filter { it.resuming }
        if (resuming.isNotEmpty()) return resuming.minBy { it.arrivedAtMs }
        val order = order(tier)
        val flow = ofTier.map { it.flow() }.distinct().minBy { order.startTag(it) }
        return ofTier.filter { it.flow() == flow }.minBy { it.latestDispatchAtMs }
    }

    /** Notes that [registration] got a slot that it will hold for about [costMs]. */
    fun served(registration: Registration, costMs: Double) {
        if (registration.resuming) return
        val flow = registration.flow()
        order(registration.tier).charge(flow, costMs / registration.share.coerceAtLeast(1))
    }

    /** Number of registrations of each tier, by rank. */
    fun countByTier(): List<Int> {
        val highest = registrations.values.maxOfOrNull { it.tier.value } ?: return emptyList()
        return (0..highest).map { rank -> registrations.values.count { it.tier.value == rank } }
    }

    private fun order(tier: TierRank): FairOrder = tiers.getOrPut(tier) { FairOrder() }

    private fun Registration.flow(): FlowKey = FlowKey(account = account, long = long)
}
