package org.hyssoprack.daemon

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Response of `GET /v1/hosts`: hosts to use for [ttlMs] milliseconds, the preferred one first. */
@Serializable
internal data class CallerHostsBody(
    @SerialName("ttl_ms") val ttlMs: Long,
    val hosts: List<CallerHostBody>
)
