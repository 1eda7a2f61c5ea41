package org.hyssoprack.bench.capacity

/**
 * Cost of slot leases for one host, per second.
 *
 * @property held running requests, each of which holds one slot.
 * @property leasedServers servers of other hosts on which the host holds slots.
 */
internal data class SlotCost(
    val perSecond: Double,
    val bytes: Double,
    val messages: Double,
    val entryUs: Double,
    val ownerUs: Double,
    val held: Double,
    val leasedServers: Double,
    val bytesByType: Map<String, Double>
)
