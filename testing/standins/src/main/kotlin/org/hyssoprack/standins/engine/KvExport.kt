package org.hyssoprack.standins.engine

import kotlinx.serialization.Serializable

/** State of a request that moves to another emulated engine; stands for its KV cache. */
@Serializable
internal data class KvExport(
    val id: String,
    val marker: String,
    val promptTokens: Int,
    val maxTokens: Int,
    val produced: Int
)
