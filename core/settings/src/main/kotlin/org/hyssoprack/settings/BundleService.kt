package org.hyssoprack.settings

import arrow.core.Either
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.ContentHash
import org.hyssoprack.common.Failure
import org.hyssoprack.common.OperatorName

/** Operators' steps from a proposal to an accepted bundle. Every step may be repeated safely. */
interface BundleService {
    /** Checks [json] as a whole and stores it as a proposal. Fails with SETTINGS_INVALID. */
    suspend fun propose(operator: OperatorName, json: String): Either<Failure, ContentHash>

    /** Records that [operator], who is not the proposer, agrees. Fails with SIGN_OFF_SELF. */
    suspend fun signOff(operator: OperatorName, hash: ContentHash): Either<Failure, Unit>

    /**
     * Makes a signed-off proposal the accepted bundle after [base], the version that the operator
     * saw last. Fails with BUNDLE_CONFLICT, SIGN_OFF_MISSING or OUTCOME_UNDECIDED.
     */
    suspend fun accept(
        operator: OperatorName,
        hash: ContentHash,
        base: BundleVersion
    ): Either<Failure, BundleVersion>

    /** The body of a proposal or accepted bundle. Fails with BUNDLE_UNKNOWN. */
    suspend fun show(hash: ContentHash): Either<Failure, String>

    /** All accepted versions that the table service still lists, the newest first. */
    suspend fun history(): Either<Failure, List<AcceptedBundle>>
}
