package org.hyssoprack.standins.service

import kotlinx.serialization.Serializable

/** Number of runs of one call; all properties but [count] identify the call. */
@Serializable
data class ServiceRun(
    val requestId: String?,
    val idempotencyKey: String?,
    val method: String,
    val path: String,
    val bodyHash: String,
    val count: Int
)
