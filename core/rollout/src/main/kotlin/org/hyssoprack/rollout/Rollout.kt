package org.hyssoprack.rollout

import org.hyssoprack.common.Clock

/**
 * One roll-out at its decider: grants the new version a bounded part of the requests, and decides by
 * the responses whether it is accepted or rolled back. Answers both a version that is bad from the
 * start, on which few requests are spent, and one that becomes bad under load or on one route.
 *
 * @param startedMs monotonic time of the order.
 * @param record what was stored before; its reservation counts as used.
 */
class Rollout(
    val order: RolloutOrder,
    bounds: RolloutBounds,
    private val startedMs: Long,
    private val clock: Clock,
    record: RolloutRecord
) {
    /** Requests that the new version may get. */
    val exposure = ExposureLimit(bounds, total = record.total, exposed = record.reserved)

    /** Responses of both versions. */
    val comparison = VersionComparison(clock, record.counts)

    /** State in force: a roll-back applies once it is decided, a success once it is stored. */
    var state = RolloutState.RUNNING
        private set

    /**
     * Whether the new version has been accepted but that is not stored yet. The old servers stop
     * without draining as soon as it is, so until then requests in progress there are awaited while
     * new ones go to the new version.
     */
    var isAccepted = false
        private set

    private var outstanding = 0
    private var outstandingOld = 0
    private var answered = 0

    /** Time since the order as a share of the permitted duration. */
    val elapsedShare: Double
        get() = (clock.nowMs() - startedMs).toDouble() / order.durationMs.coerceAtLeast(1)

    /** Whether the new version may get a request now. */
    val mayExpose: Boolean
        get() = state == RolloutState.RUNNING && (isAccepted || isWithinBounds)

    private val isWithinBounds: Boolean
        get() = outstanding < FIRST_OUTSTANDING + answered / ANSWERED_PER_OUTSTANDING &&
            exposure.mayExpose

    /** Records the grant of a slot of the new or of the old version. */
    fun recordGrant(isNew: Boolean) {
        exposure.recordGrant(isNew)
        if (isNew) outstanding++ else outstandingOld++
    }

    /** Records that a granted slot was released, used or not. */
    fun recordRelease(isNew: Boolean) {
        if (isNew) outstanding-- else outstandingOld--
    }

    /** Records the response to a granted request. */
    fun recordResponse(response: VersionResponse) {
        if (response.isNew && response.isComplete) answered++
        // The new version has the load of both then, so that only failures still count.
        comparison.record(if (isAccepted) response.withoutTimes() else response)
        if (state == RolloutState.RUNNING && comparison.isBad) state = RolloutState.ROLLED_BACK
    }

    /**
     * Returns the state that is to be stored now. A roll-back is in force at once; a success only
     * after [adopt].
     *
     * @param hasNewServer whether a server of the new version accepts requests.
     */
    fun decide(hasNewServer: Boolean): RolloutState {
        if (state.isFinal) return state
        val share = elapsedShare
        exposure.recordElapsed(share / EARLIEST_SHARE)
        val verdict = when {
            share >= LAST_SHARE -> lastVerdict(hasNewServer)
            isAccepted && (outstandingOld <= 0 || share >= DRAINED_SHARE) -> RolloutState.SUCCEEDED
            else -> RolloutState.RUNNING
        }
        if (share >= EARLIEST_SHARE && isAcceptable(hasNewServer)) isAccepted = true
        if (verdict == RolloutState.ROLLED_BACK) state = verdict
        return verdict
    }

    /** Puts the stored [stored] in force. A final state is never reverted. */
    fun adopt(stored: RolloutState) {
        if (stored.isFinal) state = stored
    }

    private fun isAcceptable(hasNewServer: Boolean) =
        hasNewServer && comparison.isEnough && !comparison.isSuspicious

    // Without a server of the new version, success would leave the service without any.
    private fun lastVerdict(hasNewServer: Boolean): RolloutState {
        if (isAccepted && hasNewServer) return RolloutState.SUCCEEDED
        val counts = comparison.total
        val isFew = counts.new < FEW_RESPONSES
        val isBadFew = isFew && counts.newBad > counts.new * counts.expectedBadShare * 2
        val isBad = !hasNewServer || comparison.isSuspicious || isBadFew
        return if (isBad) RolloutState.ROLLED_BACK else RolloutState.SUCCEEDED
    }

    companion object {
        /** Share of the duration from which a version with enough good responses is accepted. */
        const val EARLIEST_SHARE = 0.6

        /** Share of the duration for which requests in progress at old servers are awaited. */
        const val DRAINED_SHARE = 0.75

        /** Share of the duration at which the decision is made in any case. */
        const val LAST_SHARE = 0.85

        // Requests in progress at the new version before its first response; later more. A version
        // that never responds gets no more than these.
        private const val FIRST_OUTSTANDING = 12
        private const val ANSWERED_PER_OUTSTANDING = 2
        private const val FEW_RESPONSES = 40
    }
}
