package org.hyssoprack.membership

import org.hyssoprack.common.HostId

/** News about members that is passed on with probe messages, each a bounded number of times. */
internal class GossipQueue(private val settings: MembershipSettings) {
    private class Entry(val digest: MemberDigest, var sent: Int = 0)

    private val entries = LinkedHashMap<HostId, Entry>()

    /** Number of pieces of news that wait. */
    val size: Int get() = entries.size

    /** Adds [digest] in place of older news about the same host. */
    fun add(digest: MemberDigest) {
        entries.remove(digest.host)
        entries[digest.host] = Entry(digest)
    }

    /** The news for one message: what was sent least often, within the bound of bytes. */
    fun take(members: Int): List<MemberDigest> {
        if (entries.isEmpty()) return emptyList()
        var budget = settings.maxGossipBytes
        val chosen = entries.values.sortedBy { it.sent }.takeWhile {
            budget -= weight(it.digest)
            budget >= 0
        }
        chosen.forEach { it.sent++ }
        val limit = settings.transmissions(members)
        entries.values.removeIf { it.sent >= limit }
        return chosen.map { it.digest }
    }

    private fun weight(digest: MemberDigest): Int {
        val profile = digest.profile ?: return BASE_BYTES + digest.host.value.length
        return BASE_BYTES + PROFILE_BYTES + digest.host.value.length +
            profile.domain.value.length + profile.region.value.length
    }

    private companion object {
        const val BASE_BYTES = 24
        const val PROFILE_BYTES = 72
    }
}
