package org.hyssoprack.bench.analysis

import kotlinx.serialization.Serializable

/** A request that was shed while a lower-tier request held a slot that it could have used. */
@Serializable
data class Inversion(
    val shedRequest: String,
    val shedTier: String,
    val code: String,
    val epochMs: Long,
    val holder: String,
    val holderTier: String,
    val server: String,
    val heldForMs: Long,
    val heldOnForMs: Long
)
