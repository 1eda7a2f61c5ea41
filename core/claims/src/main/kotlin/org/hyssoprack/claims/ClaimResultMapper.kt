package org.hyssoprack.claims

import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode

/** What an attempt is told about a row that it does not hold. */
internal object ClaimResultMapper {
    private const val RETRY_AFTER_MS = 1_000L

    /** The answer that [row] stands for; null if the call may be claimed over it. */
    fun result(row: ClaimRow?, bodyHash: String): ClaimResult? = when {
        row == null -> denied(ResultCode.FIRST_ATTEMPT_UNKNOWN, "The claim's row is unreadable.")
        row.bodyHash != bodyHash -> denied(
            ResultCode.KEY_REUSED,
            "The key belongs to another body."
        )
        row.state == ClaimState.NOT_RUN -> null
        row.outcome != null -> ClaimResult.Recorded(row.outcome)
        else -> denied(ResultCode.CLAIMED_BY_OTHER, "The attempt ${row.attempt} holds the claim.")
    }

    /** The call could not be claimed and is not dispatched. */
    fun unavailable(cause: Failure): ClaimResult.Denied =
        denied(ResultCode.CLAIM_STORE_UNAVAILABLE, "The claim is undecided: ${cause.detail}")

    private fun denied(code: ResultCode, detail: String) =
        ClaimResult.Denied(Failure(code = code, detail = detail, retryAfterMs = RETRY_AFTER_MS))
}
