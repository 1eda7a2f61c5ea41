package org.hyssoprack.claims

import org.hyssoprack.common.Failure

/** Result of an attempt to claim a call. */
sealed interface ClaimResult {
    /** The claim is granted: the call may be dispatched once. */
    data class Granted(val claim: Claim) : ClaimResult

    /** The call of an earlier attempt has ended; its recorded outcome is the answer. */
    data class Recorded(val outcome: RecordedOutcome) : ClaimResult

    /** The call must not be dispatched; the caller is answered with [failure]. */
    data class Denied(val failure: Failure) : ClaimResult
}
