package org.hyssoprack.scheduling

/** A digest with the time of its arrival and the slots that were lent to this host since then. */
internal class ReceivedDigest(val digest: ServerDigest, val receivedAtMs: Long) {
    var lentSince = 0

    /** Slots that the owner can still lend, as far as known. */
    val free: Int get() = digest.limit - digest.lent - lentSince
}
