package org.hyssoprack.backend

import kotlinx.serialization.Serializable
import org.hyssoprack.common.FencingNumber
import org.hyssoprack.common.ModelId

/**
 * The desired state of an engine. Orders carry the whole state and never a change to it, so that
 * they are idempotent.
 */
@Serializable
data class EngineOrder(
    val fencing: FencingNumber,
    val model: ModelId,
    val version: String,
    val adapters: List<String> = emptyList(),
    val role: String = "mixed"
)
