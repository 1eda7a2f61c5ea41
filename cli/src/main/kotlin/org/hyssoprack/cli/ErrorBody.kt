package org.hyssoprack.cli

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** JSON body of an error. */
@Serializable
internal data class ErrorBody(
    val number: Int,
    val detail: String,
    @SerialName("retry_after_ms") val retryAfterMs: Long? = null
)
