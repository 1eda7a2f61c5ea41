package org.hyssoprack.settings

import arrow.core.Either
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.ContentHash
import org.hyssoprack.common.Failure
import org.hyssoprack.common.OperatorName

/** Operations that take a bundle from proposal to acceptance. All of them are idempotent. */
interface BundleService {
    /** Validates [json] and stores it as a proposal. Fails with SETTINGS_INVALID. */
    suspend fun propose(operator: OperatorName, json: String): Either<Failure, ContentHash>

    /**
     * Records the approval of [operator], who must not be the proposer. Fails with SIGN_OFF_SELF.
     */
    suspend fun signOff(operator: OperatorName, hash: ContentHash): Either<Failure, Unit>

    /**
     * Accepts a signed-off proposal as the successor of [base], the version that the operator saw
     * last. Fails with BUNDLE_CONFLICT, SIGN_OFF_MISSING or OUTCOME_UNDECIDED.
     */
    suspend fun accept(
        operator: OperatorName,
        hash: ContentHash,
        base: BundleVersion
    ): Either<Failure, BundleVersion>

    /** Returns the body of a proposal or accepted bundle. Fails with BUNDLE_UNKNOWN. */
    suspend fun show(hash: ContentHash): Either<Failure, String>

    /** Returns all accepted versions that are still in the table service, newest first. */
    suspend fun history(): Either<Failure, List<AcceptedBundle>>
}
