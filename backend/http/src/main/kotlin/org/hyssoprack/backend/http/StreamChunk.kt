package org.hyssoprack.backend.http

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hyssoprack.backend.EngineUsage

/** The parts of a stream chunk that are checked. */
@Serializable
internal data class StreamChunk(
    val id: String,
    @SerialName("token_index") val tokenIndex: Int? = null,
    val usage: Usage? = null,
    val error: Error? = null
) {
    /** Work done, as the engine counts it. */
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

    /** Why the engine ended an answer that is not whole. */
    @Serializable
    data class Error(val type: String = "unknown")
}
