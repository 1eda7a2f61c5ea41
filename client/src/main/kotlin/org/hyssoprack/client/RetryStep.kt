package org.hyssoprack.client

import org.hyssoprack.common.Failure

/** What a client does after an attempt without a whole answer. */
internal sealed interface RetryStep {
    /** Send the call again after [delayMs] milliseconds. */
    data class Again(val delayMs: Long) : RetryStep

    /** Tell the caller. */
    data class GiveUp(val failure: Failure) : RetryStep
}
