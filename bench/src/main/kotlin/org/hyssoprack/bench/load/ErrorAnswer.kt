package org.hyssoprack.bench.load

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Error body of an entry host. */
@Serializable
data class ErrorAnswer(
    val number: Int = 0,
    val name: String = "",
    val outcome: String = "unknown",
    val detail: String = ""
) {
    companion object {
        private val JSON = Json { ignoreUnknownKeys = true }

        /** Reads [text]; an error of no known form counts as unknown. */
        fun parse(text: String): ErrorAnswer = try {
            JSON.decodeFromString(text)
        } catch (_: SerializationException) {
            ErrorAnswer(detail = text.take(MAX_DETAIL_CHARS))
        }

        private const val MAX_DETAIL_CHARS = 200
    }
}
