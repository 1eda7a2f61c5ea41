package org.hyssoprack.host

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Answer to `GET /v1/hosts`: addresses to use for [ttlMs] milliseconds, the best first. */
@Serializable
data class CallerDirectory(@SerialName("ttl_ms") val ttlMs: Long, val hosts: List<CallerAddress>)
