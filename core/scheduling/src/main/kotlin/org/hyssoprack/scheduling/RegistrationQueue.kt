package org.hyssoprack.scheduling

import org.hyssoprack.common.HostRef
import org.hyssoprack.common.TierRank
import org.hyssoprack.policy.QueueRule

/**
 * Queue of the registered requests of one backend server. Orders them by tier, puts suspended
 * requests that resume first, shares slots between flows by start-time fair queueing, and orders
 * the requests of a flow by their latest useful dispatch time.
 *
 * The cost of a request is the expected time that it holds its slot, so that flows get equal shares
 * of slot time rather than of requests.
 */
internal class RegistrationQueue(private val rule: QueueRule) {
    private val registrations = LinkedHashMap<RegistrationKey, Registration>()
    private val tagsByTier = HashMap<TierRank, FairQueueTags>()

    fun isEmpty(): Boolean = registrations.isEmpty()

    operator fun contains(key: RegistrationKey): Boolean = key in registrations

    /** Returns the registrations that request preemption of lower tiers, the highest tier first. */
    fun urgent(): List<Registration> =
        registrations.values.filter { it.urgent > 0 }.sortedBy { it.tier }

    /** Returns the registration with this key; creates it if there is none. */
    fun registration(key: RegistrationKey, share: Int): Registration =
        registrations.getOrPut(key) { Registration(key, share) }

    fun remove(key: RegistrationKey) {
        registrations.remove(key)
    }

    fun removeAllOf(holder: HostRef) {
        registrations.values.removeIf { it.holder == holder }
    }

    fun removeEnded(nowMs: Long) {
        registrations.values.removeIf { it.count <= 0 || it.lapsesAtMs <= nowMs }
    }

    /**
     * Returns the first registration in the order of the queue that [eligible] accepts, or null.
     */
    fun next(eligible: (Registration) -> Boolean): Registration? {
        val candidates = registrations.values.filter(eligible)
        if (candidates.isEmpty()) return null
        if (rule == QueueRule.ARRIVAL) return candidates.minBy { it.arrivedAtMs }
        val tier = candidates.minOf { it.tier }
        val ofTier = candidates.filter { it.tier == tier }
        val resuming = ofTier.filter { it.isResuming }
        if (resuming.isNotEmpty()) return resuming.minBy { it.arrivedAtMs }
        val tags = fairTags(tier)
        val flow = ofTier.map { it.flow }.distinct().minBy { tags.startTag(it) }
        return ofTier.filter { it.flow == flow }.minBy { it.latestDispatchAtMs }
    }

    /** Charges the flow of [registration] for a slot that is expected to be held for [costMs]. */
    fun served(registration: Registration, costMs: Double) {
        registration.served()
        if (registration.count <= 0) remove(registration.key)
        if (registration.isResuming) return
        val share = registration.share.coerceAtLeast(1)
        fairTags(registration.tier).charge(registration.flow, costMs / share)
    }

    /** Returns the number of waiting requests of each tier, by rank. */
    fun countByTier(): List<Int> {
        val lowest = registrations.values.maxOfOrNull { it.tier.value } ?: return emptyList()
        val counts = IntArray(lowest + 1)
        registrations.values.forEach { counts[it.tier.value] += it.count }
        return counts.toList()
    }

    private fun fairTags(tier: TierRank): FairQueueTags =
        tagsByTier.getOrPut(tier) { FairQueueTags() }
}
