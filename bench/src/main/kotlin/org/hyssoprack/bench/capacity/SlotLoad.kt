package org.hyssoprack.bench.capacity

/**
 * Load on the simulated schedulers of several hosts.
 *
 * @property perSecond requests that arrive at each host per second.
 * @property serviceMs run time of each request, in milliseconds.
 */
internal data class SlotLoad(
    val hosts: Int,
    val serversPerHost: Int,
    val slotsPerServer: Int,
    val perSecond: Double,
    val serviceMs: Long,
    val domains: Int = 1
)
