package org.hyssoprack.membership

import org.hyssoprack.common.HostId

/** Member updates to piggyback on probe messages, each for a limited number of transmissions. */
internal class GossipQueue(private val settings: MembershipSettings) {
    private class Entry(val digest: MemberDigest, var sent: Int = 0)

    private val entries = LinkedHashMap<HostId, Entry>()

    /** Number of queued updates. */
    val size: Int get() = entries.size

    /** Queues [digest] and replaces a queued update about the same host. */
    fun add(digest: MemberDigest) {
        entries.remove(digest.host)
        entries[digest.host] = Entry(digest)
    }

    /** Returns the updates for one message: least transmitted first, up to the size limit. */
    fun take(members: Int): List<MemberDigest> {
        if (entries.isEmpty()) return emptyList()
        var budget = settings.maxGossipBytes
        val selected = entries.values.sortedBy { it.sent }.takeWhile {
            budget -= encodedBytes(it.digest)
            budget >= 0
        }
        selected.forEach { it.sent++ }
        val limit = settings.transmissions(members)
        entries.values.removeIf { it.sent >= limit }
        return selected.map { it.digest }
    }

    private fun encodedBytes(digest: MemberDigest): Int {
        val profile = digest.profile ?: return BASE_BYTES + digest.host.value.length
        return BASE_BYTES + PROFILE_BYTES + digest.host.value.length +
            profile.domain.value.length + profile.region.value.length
    }

    private companion object {
        const val BASE_BYTES = 24
        const val PROFILE_BYTES = 72
    }
}
