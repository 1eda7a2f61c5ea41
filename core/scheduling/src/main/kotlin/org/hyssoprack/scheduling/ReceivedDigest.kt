package org.hyssoprack.scheduling

/** A digest, the time of its arrival, and the slots that were lent to this host since then. */
internal class ReceivedDigest(val digest: ServerDigest, val receivedAtMs: Long) {
    var lentSince = 0

    /** Estimated number of slots that the owner can still lend. */
    val free: Int get() = digest.limit - digest.lent - lentSince
}
