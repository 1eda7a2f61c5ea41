package org.hyssoprack.gateway.netty

/** What one connection holds of the host's memory, as known to a [ByteBudget]. */
internal class Holding(val owner: HoldingOwner) {
    var bytes = 0L
        internal set

    /** Time since which a request is being read; null while none is incomplete. */
    var incompleteSinceMs: Long? = null

    /** Bytes of the incomplete request, which are free once it is refused. */
    var incompleteBytes = 0L

    /** Bytes granted to a response that is collected whole, until it has been written. */
    var grantedBytes = 0L
        internal set

    /** Whether it is too small to be stopped while the host is short of memory. */
    val isSmall: Boolean get() = bytes <= SMALL_BYTES

    /** Whether its incomplete request is refused only at the limit, after all larger ones. */
    val isIncompleteSmall: Boolean get() = incompleteBytes <= SMALL_BYTES

    private companion object {
        // Far above an ordinary request, far below what a crowd needs to fill a heap.
        const val SMALL_BYTES = 65_536L
    }
}
