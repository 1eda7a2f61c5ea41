package org.hyssoprack.bench.capacity

/**
 * Load on the schedulers of several hosts.
 *
 * @property perSecond requests that arrive at each host in a second.
 * @property serviceMs time that each request runs.
 */
internal data class SlotLoad(
    val hosts: Int,
    val serversPerHost: Int,
    val slotsPerServer: Int,
    val perSecond: Double,
    val serviceMs: Long,
    val domains: Int = 1
)
