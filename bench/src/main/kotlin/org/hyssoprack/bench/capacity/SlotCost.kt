package org.hyssoprack.bench.capacity

/**
 * What lending slots costs one host in a second.
 *
 * @property held requests that run, each on a slot.
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
