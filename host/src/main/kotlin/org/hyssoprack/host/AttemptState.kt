package org.hyssoprack.host

import org.hyssoprack.common.HostId

/** State of a request id in the [RequestRegistry] of a host. */
internal sealed interface AttemptState {
    /** The request is in progress here. */
    data object InProgress : AttemptState

    /** The request ended here and did not reach a backend server. */
    data object NotRun : AttemptState

    /** The request ended here and may have reached a backend server. */
    data object MayHaveRun : AttemptState

    /** The request was handed over to [host]; only that host may run it. */
    data class HandedOver(val host: HostId) : AttemptState
}
