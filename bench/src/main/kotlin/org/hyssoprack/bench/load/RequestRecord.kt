package org.hyssoprack.bench.load

/**
 * Result of one request as seen by its caller. Times are in milliseconds after the planned send
 * time.
 *
 * @property requestId request id in the logs of the hosts.
 * @property resultCode number of the result code; null if no error was received.
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
