package org.hyssoprack.integration.schedule

/**
 * Size of a random run, which continues until both counts are reached.
 *
 * @property requests number of calls to start, not counting retries.
 * @property faults number of faults to inject.
 */
data class RandomRunSettings(
    val seed: Long,
    val requests: Int,
    val faults: Int,
    val callsPerSecond: Int = 40
)
