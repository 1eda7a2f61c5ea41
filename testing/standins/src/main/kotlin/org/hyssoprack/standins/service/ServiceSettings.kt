package org.hyssoprack.standins.service

import kotlinx.serialization.Serializable
import org.hyssoprack.common.BackendServerId

/**
 * Settings of an emulated plain service.
 *
 * @property address listen address, as `ip:port`.
 * @property slots maximum number of concurrent calls; others wait in order of arrival.
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
