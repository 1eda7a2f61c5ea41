package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.ResultCode

/**
 * A request in progress on its entry host.
 *
 * @property asked servers with whose owners the request is registered.
 * @property shedCause why the request shall be shed as soon as that is allowed; null while it waits.
 */
internal class EntryRequest(val request: WaitingRequest, val kind: SlotKind) {
    var phase = RequestPhase.WAITING
    val asked = LinkedHashSet<BackendServerId>()
    var nextAskMs = 0L
    var width = 0
    var widenAtMs = 0L
    var waitsEverywhere = false
    var urgentServer: BackendServerId? = null
    var urgentUntilMs = 0L
    var latestDispatchAtMs = request.deadlineAtMs
    var shedCause: ResultCode? = null
    var shedSinceMs = 0L

    var server: BackendServerId? = null
    var lease: EntryLease? = null
    var dispatchedAtMs = 0L
    var uncachedTokens = 0
    var hasFirstToken = false
    var isFirstTokenMeasured = false
    var preempting = false
    var wasSuspended = false

    val id get() = request.id

    /** True if [server] shall preempt a lower tier for this request. */
    fun isUrgentAt(nowMs: Long, server: BackendServerId): Boolean =
        urgentServer == server && nowMs < urgentUntilMs
}
