package org.hyssoprack.standins.service

import kotlinx.serialization.Serializable
import org.hyssoprack.common.BackendServerId

/**
 * How an emulated plain service behaves.
 *
 * @property address where it listens, as `ip:port`.
 * @property slots most calls that run at once; others wait in order of arrival.
 * @property latencyMs time that one call takes, in milliseconds.
 * @property reportLagMs age of load reports, in milliseconds.
 */
@Serializable
data class ServiceSettings(
    val address: String,
    val id: BackendServerId,
    val slots: Int = 8,
    val latencyMs: Long = 20,
    val reportLagMs: Long = 1_000
)
