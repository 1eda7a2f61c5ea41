package org.hyssoprack.bench.load

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Body of an error response from an entry host. */
@Serializable
data class ErrorResponse(
    val number: Int = 0,
    val name: String = "",
    val outcome: String = "unknown",
    val detail: String = ""
) {
    companion object {
        private val JSON = Json { ignoreUnknownKeys = true }

        /** Parses [text]; the outcome of a body that cannot be parsed is `unknown`. */
        fun parse(text: String): ErrorResponse = try {
            JSON.decodeFromString(text)
        } catch (_: SerializationException) {
            ErrorResponse(detail = text.take(MAX_DETAIL_CHARS))
        }

        private const val MAX_DETAIL_CHARS = 200
    }
}
