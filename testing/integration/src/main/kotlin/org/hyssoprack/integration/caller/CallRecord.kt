package org.hyssoprack.integration.caller

/**
 * One attempt of a call and what its caller was told.
 *
 * @property sentMs wall-clock time before the call, in milliseconds since the epoch.
 * @property endedMs wall-clock time at which the caller knew the outcome.
 */
data class CallRecord(
    val spec: CallSpec,
    val requestId: String,
    val host: String,
    val incarnation: String,
    val sentMs: Long,
    val endedMs: Long,
    val told: Told
)
