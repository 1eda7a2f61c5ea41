package org.hyssoprack.client

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Token counts of a complete answer. */
@Serializable
data class CompletionUsage(
    @SerialName("prompt_tokens") val promptTokens: Int = 0,
    @SerialName("cached_tokens") val cachedTokens: Int = 0,
    @SerialName("completion_tokens") val completionTokens: Int = 0
)
