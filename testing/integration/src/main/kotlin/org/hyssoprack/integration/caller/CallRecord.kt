package org.hyssoprack.integration.caller

/**
 * One attempt of a call and its result.
 *
 * @property sentMs wall-clock time just before the call was sent, in milliseconds since the epoch.
 * @property endedMs wall-clock time at which the caller had the result.
 */
data class CallRecord(
    val spec: CallSpec,
    val requestId: String,
    val host: String,
    val incarnation: String,
    val sentMs: Long,
    val endedMs: Long,
    val result: CallResult
)
