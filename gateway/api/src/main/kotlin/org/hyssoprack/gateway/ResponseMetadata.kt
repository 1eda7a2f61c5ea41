package org.hyssoprack.gateway

import org.hyssoprack.serving.limits.ReportedRateLimit
import org.hyssoprack.serving.placement.ReportedLoad

/**
 * Metadata from the headers of a backend server's response.
 *
 * @property requestId id of the request that it answers; null if it has none.
 * @property isSealed whether it carries the server's seal, which marks a genuine response.
 * @property isNotRun whether the server states that it did not run the request.
 * @property isOtherServer whether a different server responded at the address.
 * @property load the server's load; null if it does not report it.
 * @property idleTimeoutMs time for which the server keeps an idle connection, in milliseconds; null
 *   if it does not report it.
 * @property isLeaving whether the server is shutting down and accepts no new requests from any
 *   host.
 * @property closedMs time for which this host must send no requests to the server, in milliseconds;
 *   null if the server does not ask for that.
 * @property rateLimit request rate that the server accepts from all hosts together.
 * @property unreadable headers that were ignored because their values cannot be used, for the log.
 */
data class ResponseMetadata(
    val requestId: String?,
    val isSealed: Boolean,
    val isNotRun: Boolean,
    val isOtherServer: Boolean,
    val load: ReportedLoad? = null,
    val idleTimeoutMs: Long? = null,
    val isLeaving: Boolean = false,
    val closedMs: Long? = null,
    val rateLimit: ReportedRateLimit = ReportedRateLimit.None,
    val unreadable: String? = null
)
