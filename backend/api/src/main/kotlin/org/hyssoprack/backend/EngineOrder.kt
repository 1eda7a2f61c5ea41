package org.hyssoprack.backend

import kotlinx.serialization.Serializable
import org.hyssoprack.common.FencingNumber
import org.hyssoprack.common.ModelId

/**
 * The state that an engine shall be in. Orders carry the desired state and never a step towards it,
 * so that a repeated order changes nothing.
 */
@Serializable
data class EngineOrder(
    val fencing: FencingNumber,
    val model: ModelId,
    val version: String,
    val adapters: List<String> = emptyList(),
    val role: String = "mixed"
)
