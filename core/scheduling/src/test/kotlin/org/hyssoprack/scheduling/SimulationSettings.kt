package org.hyssoprack.scheduling

import org.hyssoprack.policy.Pool

/**
 * Size and faults of a [SchedulerSimulation]; probabilities are per message, in percent.
 *
 * @property speed share of its full speed at which a server runs each of its requests.
 */
data class SimulationSettings(
    val hosts: Int = 3,
    val servers: Int = 3,
    val slots: Int = 2,
    val pool: Pool,
    val dropPercent: Int = 0,
    val duplicatePercent: Int = 0,
    val maxDelayMs: Int = 2,
    val cancelMs: Long = 20,
    val canSuspend: Boolean = true,
    val speed: (server: Int, running: Int, nowMs: Long) -> Double = { _, _, _ -> 1.0 }
)
