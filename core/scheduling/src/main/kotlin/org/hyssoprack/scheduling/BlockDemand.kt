package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId

/** Counts requests that had to ask although slots were plentiful, to ask for blocks instead. */
internal class BlockDemand {
    private val misses = LinkedHashMap<Key, Int>()

    /** Notes that a request of [kind] got a slot of [server] by asking, and that it may be kept. */
    fun missed(server: BackendServerId, kind: SlotKind) {
        if (!kind.long) misses.merge(Key(server, kind), 1, Int::plus)
    }

    /** Blocks to ask for; one miss is no demand. */
    fun takeBlocks(): List<BlockRequest> {
        val wanted = misses.filterValues { it > 1 }
        misses.clear()
        return wanted.map { (key, count) -> BlockRequest(key.server, key.kind, count / 2) }
    }

    private data class Key(val server: BackendServerId, val kind: SlotKind)
}
