package org.hyssoprack.scheduling

import org.hyssoprack.common.HostRef

/** Generates lease ids that no other owner and no other incarnation uses. */
internal class LeaseIds(self: HostRef) {
    private val prefix = (self.hashCode().toLong() and PREFIX_MASK) shl COUNTER_BITS
    private var counter = 0L

    fun next(): LeaseId = LeaseId(prefix or ++counter)

    private companion object {
        const val PREFIX_MASK = 0x7fff_ffffL
        const val COUNTER_BITS = 32
    }
}
