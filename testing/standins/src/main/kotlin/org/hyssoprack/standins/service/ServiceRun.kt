package org.hyssoprack.standins.service

import kotlinx.serialization.Serializable

/** How often one call ran; calls are told apart by all but [count]. */
@Serializable
data class ServiceRun(
    val requestId: String?,
    val idempotencyKey: String?,
    val method: String,
    val path: String,
    val bodyHash: String,
    val count: Int
)
