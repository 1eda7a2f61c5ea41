package org.hyssoprack.bench.load

/**
 * What a caller saw of one request. Times are in milliseconds from the intended time of sending.
 *
 * @property requestId id under which the hosts log the request.
 * @property resultCode number of the result code; null for a whole answer.
 */
data class RequestRecord(
    val planned: PlannedRequest,
    val requestId: String,
    val outcome: RequestOutcome,
    val resultCode: Int?,
    val detail: String?,
    val tokens: Int,
    val firstTokenMs: Double?,
    val endMs: Double,
    val tokenGapsMs: FloatArray
)
