package org.hyssoprack.orders

import org.hyssoprack.common.ModelId

/**
 * The model, adapters and role that an engine shall have.
 *
 * @property version model version; null for the newest one in the weight store.
 */
data class DesiredState(
    val model: ModelId,
    val version: String? = null,
    val adapters: List<String> = emptyList(),
    val role: String = "mixed"
)
