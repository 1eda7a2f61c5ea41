package org.hyssoprack.backend.http

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hyssoprack.backend.EngineUsage

/** The fields of a stream chunk that are checked. */
@Serializable
internal data class StreamChunk(
    val id: String,
    @SerialName("token_index") val tokenIndex: Int? = null,
    val usage: Usage? = null,
    val error: Error? = null
) {
    /** Token counts reported by the engine. */
    @Serializable
    data class Usage(
        @SerialName("prompt_tokens") val promptTokens: Int = 0,
        @SerialName("cached_tokens") val cachedTokens: Int = 0,
        @SerialName("completion_tokens") val completionTokens: Int = 0
    ) {
        fun toEngineUsage() = EngineUsage(
            promptTokens = promptTokens,
            cachedTokens = cachedTokens,
            completionTokens = completionTokens
        )
    }

    /** Why the engine ended an incomplete response. */
    @Serializable
    data class Error(val type: String = "unknown")
}
