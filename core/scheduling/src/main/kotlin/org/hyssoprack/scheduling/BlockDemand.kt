package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId

/**
 * Counts requests that needed a grant of their own although the server had spare slots. A block of
 * slots for such requests saves those round trips.
 */
internal class BlockDemand {
    private val singleGrants = LinkedHashMap<Key, Int>()

    /** Counts a grant of a keepable slot of [server] to a single request of [kind]. */
    fun recordSingleGrant(server: BackendServerId, kind: SlotKind) {
        if (!kind.long) singleGrants.merge(Key(server, kind), 1, Int::plus)
    }

    /** Returns the blocks to request and resets the counts; a count of one requests none. */
    fun drainBlockRequests(): List<BlockRequest> {
        val repeated = singleGrants.filterValues { it > 1 }
        singleGrants.clear()
        return repeated.map { (key, count) -> BlockRequest(key.server, key.kind, count / 2) }
    }

    private data class Key(val server: BackendServerId, val kind: SlotKind)
}
