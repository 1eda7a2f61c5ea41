package org.hyssoprack.host

import org.hyssoprack.common.HostId

/** What a host remembers of a request id. */
internal sealed interface AttemptState {
    /** The request is in progress here. */
    data object InProgress : AttemptState

    /** The request ended here and certainly reached no backend server. */
    data object NotRun : AttemptState

    /** The request ended here and may have reached a backend server. */
    data object MayHaveRun : AttemptState

    /** The request was left to another host; only that host may run it. */
    data class HandedOver(val host: HostId) : AttemptState
}
