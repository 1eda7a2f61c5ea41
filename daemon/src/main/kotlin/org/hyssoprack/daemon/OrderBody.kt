package org.hyssoprack.daemon

import kotlinx.serialization.Serializable

/**
 * Body of `POST /v1/orders`: the desired state of a backend server.
 *
 * @property version version of the model; null for the newest in the weight store.
 */
@Serializable
internal data class OrderBody(
    val server: String,
    val model: String,
    val version: String? = null,
    val adapters: List<String> = emptyList(),
    val role: String = "mixed"
)
