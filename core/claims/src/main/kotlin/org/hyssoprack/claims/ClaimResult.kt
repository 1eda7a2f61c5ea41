package org.hyssoprack.claims

import org.hyssoprack.common.Failure

/** Answer to an attempt to claim a call. */
sealed interface ClaimResult {
    /** The claim is this attempt's: the call may be dispatched now, once. */
    data class Granted(val claim: Claim) : ClaimResult

    /** An earlier attempt ended; its recorded outcome is the answer. */
    data class Recorded(val outcome: RecordedOutcome) : ClaimResult

    /** The call must not be dispatched. The failure's code says what the caller is told. */
    data class Denied(val failure: Failure) : ClaimResult
}
