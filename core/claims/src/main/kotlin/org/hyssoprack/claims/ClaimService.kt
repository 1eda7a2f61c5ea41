package org.hyssoprack.claims

import org.hyssoprack.common.HostRef

/** Claims of calls that may not be repeated, one row each in the table service. */
interface ClaimService {
    /**
     * Claims the call right before dispatch. [bodyHash] tells a reused key from a retry.
     * An undecided write is settled by reading back; what stays undecided is denied with
     * CLAIM_STORE_UNAVAILABLE, and the stray claim is marked as not run later.
     */
    suspend fun claim(key: ClaimKey, bodyHash: String, holder: HostRef): ClaimResult

    /** What is recorded for the call, without claiming it; null if there is nothing yet. */
    suspend fun recorded(key: ClaimKey, bodyHash: String): ClaimResult?

    /** Records how the claimed call ended; tries again in the background while the store is down. */
    suspend fun record(claim: Claim, outcome: RecordedOutcome)

    /** Frees a claim whose call was certainly not sent, so that a retry may claim it. */
    suspend fun release(claim: Claim)
}
