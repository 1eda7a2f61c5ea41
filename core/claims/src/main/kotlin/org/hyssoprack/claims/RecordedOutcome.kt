package org.hyssoprack.claims

import kotlinx.serialization.Serializable

/**
 * Recorded outcome of a claimed call.
 *
 * @property code number of the result code.
 * @property status HTTP status of the backend server's answer; 0 if there was no complete answer.
 * @property bodyBase64 body of the answer in Base64.
 */
@Serializable
data class RecordedOutcome(
    val code: Int,
    val status: Int = 0,
    val contentType: String? = null,
    val bodyBase64: String = ""
)
