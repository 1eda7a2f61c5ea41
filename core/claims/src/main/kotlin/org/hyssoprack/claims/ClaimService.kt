package org.hyssoprack.claims

import org.hyssoprack.common.HostRef

/** Claims calls that may not be repeated, with one row each in the table service. */
interface ClaimService {
    /**
     * Claims the call right before dispatch. [bodyHash] distinguishes a retry from a key that is
     * reused for another call. An undecided write is resolved by reading the row; if it stays
     * undecided, the claim is denied with CLAIM_STORE_UNAVAILABLE, and its row is marked as not run
     * in the background.
     */
    suspend fun claim(key: ClaimKey, bodyHash: String, holder: HostRef): ClaimResult

    /**
     * Returns the result for an existing claim without claiming the call; null if there is none.
     */
    suspend fun recorded(key: ClaimKey, bodyHash: String): ClaimResult?

    /** Records the outcome of a claimed call; retries in the background if the write fails. */
    suspend fun record(claim: Claim, outcome: RecordedOutcome)

    /** Releases the claim of a call that was certainly not sent, so that a retry may claim it. */
    suspend fun release(claim: Claim)
}
