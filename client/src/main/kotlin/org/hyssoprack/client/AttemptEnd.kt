package org.hyssoprack.client

import org.hyssoprack.common.Failure

/** How an attempt ended that brought no whole answer. */
internal sealed interface AttemptEnd {
    val failure: Failure

    /** Nothing of the request left this process. */
    data class NotSent(override val failure: Failure) : AttemptEnd

    /** The host answered with an error. */
    data class Refused(override val failure: Failure) : AttemptEnd

    /** The answer was lost, or broke off after [tokens] tokens. */
    data class Lost(override val failure: Failure, val tokens: Int = 0) : AttemptEnd
}
