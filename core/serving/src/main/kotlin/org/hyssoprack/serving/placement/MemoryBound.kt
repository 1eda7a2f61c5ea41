package org.hyssoprack.serving.placement

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.Clock
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.eq

/** Share of one server's configured memory that may be planned, lowered by crashes. */
class MemoryBound internal constructor(
    private val id: BackendServerId,
    private val clock: Clock,
    private val log: EventLog
) {
    private var lowered = 0.0
    private var loweredMs = 0L

    /** Share of the configured memory, at most [FULL_SHARE]. */
    val share: Double get() = FULL_SHARE - deficit()

    /** Whether a crash has lowered the bound and it has not recovered. */
    val isLowered: Boolean get() = deficit() > 0

    /** Lowers the bound after a crash with [used] tokens planned of [capacity]. */
    internal fun lower(used: Double, capacity: Long) {
        lowered = (deficit() + STEP).coerceAtMost(FULL_SHARE - MIN_SHARE)
        loweredMs = clock.nowMs()
        log.event(
            "server-memory-lowered",
            "server" eq id,
            "usedTokens" eq used.toLong(),
            "capacityTokens" eq capacity,
            "percent" eq (share * PERCENT).toInt()
        )
    }

    private fun deficit(): Double {
        if (lowered == 0.0) return 0.0
        return (lowered - (clock.nowMs() - loweredMs) * RECOVERY_PER_MS).coerceAtLeast(0.0)
    }

    private companion object {
        // The rest is left for requests that generate more tokens than expected.
        const val FULL_SHARE = 0.9
        const val MIN_SHARE = 0.5
        const val STEP = 0.1

        // A step is recovered within a minute: a crash may have had another cause than memory.
        const val RECOVERY_PER_MS = STEP / 60_000
        const val PERCENT = 100
    }
}
