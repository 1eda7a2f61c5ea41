package org.hyssoprack.client

import org.hyssoprack.common.Failure

/** An attempt that ended without a complete answer. */
internal sealed interface FailedAttempt {
    val failure: Failure

    /** The request was not sent: no connection was established. */
    data class NotSent(override val failure: Failure) : FailedAttempt

    /** The host returned an error, or a response that failed validation. */
    data class Refused(override val failure: Failure) : FailedAttempt

    /** The response was lost, or ended early after [tokens] tokens. */
    data class Lost(override val failure: Failure, val tokens: Int = 0) : FailedAttempt
}
