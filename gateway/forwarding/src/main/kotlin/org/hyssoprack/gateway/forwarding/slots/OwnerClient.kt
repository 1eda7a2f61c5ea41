package org.hyssoprack.gateway.forwarding.slots

/**
 * What the slot owner knows of one incarnation of a host that uses it.
 *
 * @property reportedMs time of its last report; null before the first.
 */
internal class OwnerClient(var reportedMs: Long? = null) {
    /** Its requests by number. */
    val leases = HashMap<Long, Lease>()

    /** Whether its last report is at most [withinMs] old. */
    fun isFresh(nowMs: Long, withinMs: Long): Boolean =
        reportedMs.let { it != null && nowMs - it <= withinMs }
}
