package org.hyssoprack.host

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.Failure

/** Signals from the [EntryTask] to the coroutine that serves one request. */
sealed interface RequestSignal {
    /** The request holds a slot of [server] and must be sent now. */
    data class Dispatch(val server: BackendServerId) : RequestSignal

    /** The request was not dispatched and never will be. */
    data class Reject(val failure: Failure) : RequestSignal

    /**
     * The running request must free its slot: it is suspended, or cancelled if [suspend] is false.
     */
    data class Preempt(val suspend: Boolean) : RequestSignal

    /** The suspended request holds a slot again. */
    data object Resume : RequestSignal
}
