package org.hyssoprack.scheduling

import org.hyssoprack.common.HostRef
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
    private val registrations = LinkedHashMap<RegistrationKey, Registration>()
    private val tiers = HashMap<TierRank, FairQueueTags>()

    fun isEmpty(): Boolean = registrations.isEmpty()

    operator fun contains(key: RegistrationKey): Boolean = key in registrations

    /** Registrations that want lower tiers to make room, the highest tier first. */
    fun urgent(): List<Registration> =
        registrations.values.filter { it.urgent > 0 }.sortedBy { it.tier }

    /** The registration with this key, new if there is none. */
    fun registration(key: RegistrationKey, share: Int): Registration =
        registrations.getOrPut(key) { Registration(key, share) }

    fun remove(key: RegistrationKey) {
        registrations.remove(key)
    }

    fun removeOf(holder: HostRef) {
        registrations.values.removeIf { it.holder == holder }
    }

    fun removeEnded(nowMs: Long) {
        registrations.values.removeIf { it.count <= 0 || it.lapsesAtMs <= nowMs }
    }

    /** The registration that is next among those that [eligible] accepts, or null. */
    fun next(eligible: (Registration) -> Boolean): Registration? {
        val candidates = registrations.values.filter(eligible)
        if (candidates.isEmpty()) return null
        if (rule == QueueRule.ARRIVAL) return candidates.minBy { it.arrivedAtMs }
        val tier = candidates.minOf { it.tier }
        val ofTier = candidates.filter { it.tier == tier }
        val resuming = ofTier.filter { it.isResuming }
        if (resuming.isNotEmpty()) return resuming.minBy { it.arrivedAtMs }
        val order = order(tier)
        val flow = ofTier.map { it.flow }.distinct().minBy { order.startTag(it) }
        return ofTier.filter { it.flow == flow }.minBy { it.latestDispatchAtMs }
    }

    /** Notes that a request of [registration] got a slot that it will hold for about [costMs]. */
    fun served(registration: Registration, costMs: Double) {
        registration.served()
        if (registration.count <= 0) remove(registration.key)
        if (registration.isResuming) return
        val share = registration.share.coerceAtLeast(1)
        order(registration.tier).charge(registration.flow, costMs / share)
    }

    /** Number of waiting requests of each tier, by rank. */
    fun countByTier(): List<Int> {
        val lowest = registrations.values.maxOfOrNull { it.tier.value } ?: return emptyList()
        val counts = IntArray(lowest + 1)
        registrations.values.forEach { counts[it.tier.value] += it.count }
        return counts.toList()
    }

    private fun order(tier: TierRank): FairQueueTags = tiers.getOrPut(tier) { FairQueueTags() }
}
