package org.hyssoprack.common

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** JSON body of every error that a host answers with, to callers and operators alike. */
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

        /** The body that tells of [failure]. */
        fun of(failure: Failure) = ErrorBody(
            number = failure.code.number,
            name = failure.code.wireName,
            outcome = failure.code.outcome.wireName,
            detail = failure.detail,
            retryAfterMs = failure.retryAfterMs
        )

        /** Reads the JSON [text] of a body; INTERNAL, which says nothing of what ran, if it is none. */
        fun read(text: String): Failure = try {
            FORMAT.decodeFromString(serializer(), text).toFailure()
        } catch (_: SerializationException) {
            Failure(ResultCode.INTERNAL, "unreadable error: ${text.take(MAX_DETAIL_CHARS)}")
        }
    }
}
