package org.hyssoprack.common

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** JSON body of all error responses of a host, to callers as well as operators. */
@Serializable
data class ErrorBody(
    val number: Int,
    val name: String = "",
    val outcome: String = "",
    val detail: String = "",
    @SerialName("retry_after_ms") val retryAfterMs: Long? = null
) {
    /** The body as JSON. */
    fun json(): String = FORMAT.encodeToString(serializer(), this)

    private fun toFailure() = Failure(
        code = ResultCode.ofNumber(number) ?: ResultCode.INTERNAL,
        detail = detail,
        retryAfterMs = retryAfterMs
    )

    companion object {
        private const val MAX_DETAIL_CHARS = 100
        private val FORMAT = Json { ignoreUnknownKeys = true }

        /** Builds the body that describes [failure]. */
        fun of(failure: Failure) = ErrorBody(
            number = failure.code.number,
            name = failure.code.wireName,
            outcome = failure.code.outcome.wireName,
            detail = failure.detail,
            retryAfterMs = failure.retryAfterMs
        )

        /**
         * Parses the JSON [text] of a body. Returns INTERNAL, whose outcome is UNKNOWN, if
         * the text is not a valid body.
         */
        fun read(text: String): Failure = try {
            FORMAT.decodeFromString(serializer(), text).toFailure()
        } catch (_: SerializationException) {
            val found = text.take(MAX_DETAIL_CHARS)
            Failure(ResultCode.INTERNAL, "expected a JSON error body; found: $found")
        }
    }
}
