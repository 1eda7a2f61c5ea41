package org.hyssoprack.client

import arrow.core.Either
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode

/** JSON body of an error answer. */
@Serializable
internal data class ErrorBody(
    val number: Int,
    val name: String,
    val outcome: String,
    val detail: String = "",
    @SerialName("retry_after_ms") val retryAfterMs: Long? = null
) {
    companion object {
        private val json = Json { ignoreUnknownKeys = true }

        /** Reads an error; one that cannot be read says nothing about what ran. */
        fun read(text: String): Failure = Either.catch { json.decodeFromString(serializer(), text) }
            .fold({ unreadable(text) }, { it.toFailure() })

        private fun ErrorBody.toFailure(): Failure {
            val code = ResultCode.ofNumber(number) ?: ResultCode.INTERNAL
            return Failure(code = code, detail = detail, retryAfterMs = retryAfterMs)
        }

        private fun unreadable(text: String): Failure =
            Failure(ResultCode.INTERNAL, "unreadable error: ${text.take(DETAIL_LENGTH)}")

        private const val DETAIL_LENGTH = 100
    }
}
