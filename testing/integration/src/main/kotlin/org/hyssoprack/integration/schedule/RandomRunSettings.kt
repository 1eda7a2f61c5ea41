package org.hyssoprack.integration.schedule

/**
 * Size of a random run; it goes on until both counts are reached.
 *
 * @property requests calls to begin, without repetitions.
 * @property faults faults to inject.
 */
data class RandomRunSettings(
    val seed: Long,
    val requests: Int,
    val faults: Int,
    val callsPerSecond: Int = 40
)
