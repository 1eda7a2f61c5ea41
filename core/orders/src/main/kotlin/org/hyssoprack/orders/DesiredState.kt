package org.hyssoprack.orders

import org.hyssoprack.common.ModelId

/**
 * What an engine shall have loaded.
 *
 * @property version version of the model; null for the newest in the weight store.
 */
data class DesiredState(
    val model: ModelId,
    val version: String? = null,
    val adapters: List<String> = emptyList(),
    val role: String = "mixed"
)
