package org.hyssoprack.daemon

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.hyssoprack.common.Failure

/** JSON body of every error. */
@Serializable
data class ErrorBody(
    val number: Int,
    val name: String,
    val outcome: String,
    val detail: String,
    @SerialName("retry_after_ms") val retryAfterMs: Long? = null
) {
    /** The body as JSON. */
    fun json(): String = Json.encodeToString(this)

    companion object {
        /** The body that tells of [failure]. */
        fun of(failure: Failure) = ErrorBody(
            number = failure.code.number,
            name = failure.code.wireName,
            outcome = failure.code.outcome.wireName,
            detail = failure.detail,
            retryAfterMs = failure.retryAfterMs
        )
    }
}
