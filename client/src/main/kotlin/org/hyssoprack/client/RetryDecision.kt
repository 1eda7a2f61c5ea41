package org.hyssoprack.client

import org.hyssoprack.common.Failure

/** Whether a client retries a call after a failed attempt. */
internal sealed interface RetryDecision {
    /** Retry the call after [delayMs] milliseconds. */
    data class RetryAfter(val delayMs: Long) : RetryDecision

    /** Return [failure] to the caller. */
    data class GiveUp(val failure: Failure) : RetryDecision
}
