package org.hyssoprack.gateway.forwarding.feeds

import com.google.common.hash.Hashing
import org.hyssoprack.common.HostId
import org.hyssoprack.membership.MemberState
import org.hyssoprack.membership.MemberView

/**
 * Which hosts read a table of the store for all: some, by hashing over the live members, so that
 * the calls to the store hardly grow with the fleet and no reader has too many to tell.
 */
class FeedReaderSelector(private val self: HostId, private val view: () -> MemberView) {
    /** The hosts to ask for [table], the first choice first; empty if this host reads itself. */
    fun readersOf(table: String): List<HostId> {
        val live = view().members.values
            .filter { it.state == MemberState.ALIVE }
            .map { it.ref.host }
        val count = LEAST_READERS + live.size / HOSTS_PER_READER
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
        // One stands in for the other.
        const val LEAST_READERS = 2
        const val HOSTS_PER_READER = 40
        const val SEPARATOR = '\n'
    }
}
