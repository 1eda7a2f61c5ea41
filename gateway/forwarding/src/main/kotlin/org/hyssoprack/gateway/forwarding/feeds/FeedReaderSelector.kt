package org.hyssoprack.gateway.forwarding.feeds

import com.google.common.hash.Hashing
import org.hyssoprack.common.HostId
import org.hyssoprack.membership.MemberState
import org.hyssoprack.membership.MemberView

/**
 * Selects the hosts that read a table of the store for all others. These are some of the live
 * members, chosen by hashing, so that the number of calls to the store hardly grows with the fleet
 * and no reader serves too many hosts.
 */
class FeedReaderSelector(private val self: HostId, private val view: () -> MemberView) {
    /**
     * Returns the readers of [table] in order of preference; empty if this host reads the store
     * itself.
     */
    fun readersOf(table: String): List<HostId> {
        val live = view().members.values
            .filter { it.state == MemberState.ALIVE }
            .map { it.ref.host }
        val count = MIN_READERS + live.size / HOSTS_PER_READER
        if (live.size <= count) return emptyList()
        val readers = live.sortedByDescending { score(table, it) }.take(count)
        if (self in readers) return emptyList()
        return readers.sortedByDescending { score(self.value, it) }
    }

    private fun score(key: String, host: HostId): Long = Hashing.murmur3_128().newHasher()
        .putUnencodedChars(key)
        .putChar(SEPARATOR)
        .putUnencodedChars(host.value)
        .hash()
        .asLong()

    private companion object {
        // Two, so that one can replace the other.
        const val MIN_READERS = 2
        const val HOSTS_PER_READER = 40
        const val SEPARATOR = '\n'
    }
}
