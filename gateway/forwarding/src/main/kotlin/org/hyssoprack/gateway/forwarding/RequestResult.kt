package org.hyssoprack.gateway.forwarding

import org.hyssoprack.common.Failure

/** How a request ended for its caller. */
internal sealed interface RequestResult {
    /** The answer has been relayed. */
    data class Delivered(val status: Int) : RequestResult

    /** A backend server's answer that is to be passed on as a whole. */
    class Answered(val answer: AttemptResult.Answered) : RequestResult

    /** The system's own answer. */
    data class Failed(val failure: Failure) : RequestResult
}
