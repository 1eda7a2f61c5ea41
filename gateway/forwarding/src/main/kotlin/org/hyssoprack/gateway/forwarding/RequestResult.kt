package org.hyssoprack.gateway.forwarding

import org.hyssoprack.common.Failure

/** Final result of a request for its caller. */
internal sealed interface RequestResult {
    /** The response has been relayed. */
    data class Delivered(val status: Int) : RequestResult

    /** A backend server's response that is to be relayed as a whole. */
    class Answered(val answer: AttemptResult.Answered) : RequestResult

    /** The host's own response. */
    data class Failed(val failure: Failure) : RequestResult
}
