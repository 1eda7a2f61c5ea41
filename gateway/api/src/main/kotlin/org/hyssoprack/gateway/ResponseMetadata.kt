package org.hyssoprack.gateway

import org.hyssoprack.serving.placement.ReportedLoad

/**
 * What the headers of a backend server's answer say.
 *
 * @property requestId the request that it answers; null if it does not say.
 * @property isSealed whether it bears the server's mark of a genuine answer.
 * @property isNotRun whether the server states that it did not run the request.
 * @property isOtherServer whether another server has the address.
 * @property load what the server has in progress; null if it does not say.
 * @property idleTimeoutMs how long the server keeps an idle connection; null if it does not say.
 * @property isLeaving whether the server ends soon and wants no new requests from anyone.
 * @property closedMs how long the server wants no requests from this host; null if it does not say.
 * @property unreadable a header whose value cannot be read and was passed over, for the log.
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
    val unreadable: String? = null
)
