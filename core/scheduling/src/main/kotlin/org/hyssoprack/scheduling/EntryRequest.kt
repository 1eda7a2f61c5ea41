package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.ResultCode

/**
 * A request in progress on its entry host.
 *
 * @property registeredServers servers with whose owners the request is registered.
 * @property serverLimit maximum number of best-ranked servers to register the request for.
 * @property shedCause reason for shedding the request as soon as that is allowed; null if there is
 *   none.
 */
internal class EntryRequest(val request: WaitingRequest, val kind: SlotKind) {
    var phase = RequestPhase.WAITING
    val registeredServers = LinkedHashSet<BackendServerId>()
    var nextRegistrationAtMs = 0L
    var serverLimit = 0
    var nextWideningAtMs = 0L
    var isRegisteredEverywhere = false
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

    /** Returns true while preemption of a lower tier on [server] is requested for this request. */
    fun isUrgentAt(nowMs: Long, server: BackendServerId): Boolean =
        urgentServer == server && nowMs < urgentUntilMs
}
