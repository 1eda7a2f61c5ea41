package org.hyssoprack.claims

import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode

/** Maps claim rows that belong to another attempt to the result of a claim. */
internal object ClaimResultMapper {
    private const val RETRY_AFTER_MS = 1_000L

    /** Returns the result for [row]; null if the call did not run and may be claimed again. */
    fun result(row: ClaimRow?, bodyHash: String): ClaimResult? = when {
        row == null -> denied(ResultCode.FIRST_ATTEMPT_UNKNOWN, "The claim row cannot be decoded.")
        row.bodyHash != bodyHash -> denied(
            ResultCode.KEY_REUSED,
            "The key was used for a call with another body."
        )
        row.state == ClaimState.NOT_RUN -> null
        row.outcome != null -> ClaimResult.Recorded(row.outcome)
        else -> denied(ResultCode.CLAIMED_BY_OTHER, "Attempt ${row.attempt} holds the claim.")
    }

    /** Returns the result for a call that could not be claimed and is not dispatched. */
    fun unavailable(cause: Failure): ClaimResult.Denied =
        denied(ResultCode.CLAIM_STORE_UNAVAILABLE, "The claim's state is unknown: ${cause.detail}")

    private fun denied(code: ResultCode, detail: String) =
        ClaimResult.Denied(Failure(code = code, detail = detail, retryAfterMs = RETRY_AFTER_MS))
}
