package org.hyssoprack.gateway.forwarding.rollout

import org.hyssoprack.common.Clock
import org.hyssoprack.common.RouteName
import org.hyssoprack.rollout.Measure
import org.hyssoprack.rollout.Rollout
import org.hyssoprack.rollout.VersionResponse
import org.hyssoprack.serving.placement.SlotOutcome
import org.hyssoprack.serving.placement.SlotResult
import org.hyssoprack.serving.placement.WorkEstimate

/**
 * Collects the result of one granted request for the comparison of versions.
 *
 * @param isNew whether the server has the version that is rolled out.
 */
class GrantSample internal constructor(
    private val rollout: Rollout,
    private val isNew: Boolean,
    private val route: RouteName?,
    private val work: WorkEstimate,
    private val clock: Clock
) {
    private val grantedMs = clock.nowMs()
    private var hasBegun = false
    private var isReleased = false

    /** Records that the first event came [firstMs] after the request was sent. */
    fun recordFirstEvent(firstMs: Long) {
        if (hasBegun || work.tokens == 0) return
        hasBegun = true
        record(times = mapOf(Measure.FIRST_EVENT to firstEvent(firstMs)))
    }

    /** Records the [result] of the use of the slot. */
    fun recordResult(result: SlotResult) {
        when (result.outcome) {
            SlotOutcome.SUCCEEDED -> record(times = timesOf(result))
            SlotOutcome.FAILED, SlotOutcome.UNREACHABLE -> record(isFailed = true)
            SlotOutcome.FULL, SlotOutcome.UNUSED -> recordWithoutResult()
        }
        release()
    }

    /** Records that the slot was released; without a result before, its caller may have left. */
    fun recordRelease() {
        if (!isReleased) recordWithoutResult()
        release()
    }

    private fun release() {
        if (isReleased) return
        isReleased = true
        rollout.recordRelease(isNew)
    }

    // A caller that leaves before the response began shows how slow the server is.
    private fun recordWithoutResult() {
        val ms = clock.nowMs() - grantedMs
        if (ms < UNUSED_MS && !isNew) rollout.exposure.recordUnused()
        if (hasBegun) return
        val time = if (work.tokens == 0) {
            Measure.CALL to ms.toDouble()
        } else {
            Measure.FIRST_EVENT to firstEvent(ms)
        }
        record(isComplete = false, times = mapOf(time))
    }

    private fun record(
        isFailed: Boolean = false,
        isComplete: Boolean = true,
        times: Map<Measure, Double> = emptyMap()
    ) = rollout.recordResponse(
        VersionResponse(
            route = route,
            isNew = isNew,
            isFailed = isFailed,
            isEnd = hasBegun && Measure.FIRST_EVENT !in times,
            isComplete = isComplete,
            times = times
        )
    )

    private fun firstEvent(ms: Long) = VersionResponse.firstEvent(ms, work.promptTokens)

    private fun timesOf(result: SlotResult): Map<Measure, Double> = buildMap {
        result.callMs?.let { put(Measure.CALL, it.toDouble()) }
        result.pauseMs?.let { put(Measure.PAUSE, it.toDouble()) }
    }

    private companion object {
        // A slot that is given back sooner was most likely not used.
        const val UNUSED_MS = 30L
    }
}
