package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.Failure
import org.hyssoprack.common.HostId
import org.hyssoprack.common.RequestId

/** An action that the entry host must carry out after a call to its scheduler. */
sealed interface EntryOutput {
    /** Send [message] to a host, which may be this host. */
    data class Send(val to: HostId, val message: SlotMessage) : EntryOutput

    /** Dispatch the request to [server] now. Emitted at most once for each request. */
    data class Dispatch(val requestId: RequestId, val server: BackendServerId) : EntryOutput

    /**
     * Answer the caller with [failure], as the request did not run. Emitted at most once for each
     * request, and never after [Dispatch].
     */
    data class Reject(val requestId: RequestId, val failure: Failure) : EntryOutput

    /** Suspend the running request; cancel it if [suspend] is false. */
    data class Preempt(
        val requestId: RequestId,
        val server: BackendServerId,
        val suspend: Boolean
    ) : EntryOutput

    /** Resume the suspended request on the server that holds its state. */
    data class Resume(val requestId: RequestId, val server: BackendServerId) : EntryOutput
}
