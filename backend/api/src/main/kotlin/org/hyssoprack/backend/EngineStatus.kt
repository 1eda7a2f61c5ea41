package org.hyssoprack.backend

import kotlinx.serialization.Serializable
import org.hyssoprack.common.FencingNumber
import org.hyssoprack.common.ModelId

/** What an engine has loaded, and the fencing number of the last order that it accepted. */
@Serializable
data class EngineStatus(
    val fencing: FencingNumber,
    val model: ModelId,
    val version: String,
    val adapters: List<String> = emptyList(),
    val role: String = "mixed"
)
