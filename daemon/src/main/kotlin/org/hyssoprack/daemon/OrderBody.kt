package org.hyssoprack.daemon

import kotlinx.serialization.Serializable

/** Body of `POST /v1/orders`: the state that a backend server shall be in. */
@Serializable
internal data class OrderBody(
    val server: String,
    val model: String,
    val version: String,
    val adapters: List<String> = emptyList(),
    val role: String = "mixed"
)
