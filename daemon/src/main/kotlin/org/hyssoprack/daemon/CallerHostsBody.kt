package org.hyssoprack.daemon

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Answer to `GET /v1/hosts`: addresses to use for [ttlMs] milliseconds, the best first. */
@Serializable
internal data class CallerHostsBody(
    @SerialName("ttl_ms") val ttlMs: Long,
    val hosts: List<CallerHostBody>
)
