package org.hyssoprack.scheduling

import kotlin.math.roundToInt
import org.hyssoprack.policy.Pool

/**
 * Adapts the number of slots of one server that may be lent. The limit shrinks while answers are
 * slower than the pool's targets and grows slowly while they are faster. A server that suddenly is
 * much slower than before, or than its peers, is a straggler: it gets one slot until it has
 * recovered.
 */
internal class LimitController(private var slots: Int, private var pool: Pool) {
    private val tokenTrend = LatencyTrend()
    private val firstTokenTrend = LatencyTrend()
    private val prefillTrend = LatencyTrend()
    private var exactLimit = slots.toDouble()
    private var shrunkAtMs = Long.MIN_VALUE / 2
    private var grownAtMs = Long.MIN_VALUE / 2
    private var stragglingSinceMs = 0L
    var isStraggling = false
        private set

    val limit: Int get() = exactLimit.roundToInt().coerceIn(minOf(1, slots), slots)

    /** Recent time between tokens in milliseconds, or null if unknown. */
    val recentTokenMs: Double? get() = tokenTrend.recent

    fun change(slots: Int, pool: Pool) {
        if (this.slots <= 0) exactLimit = slots.toDouble()
        if (this.slots > 0) exactLimit = exactLimit * slots / this.slots
        this.slots = slots
        this.pool = pool
    }

    /**
     * Adapts the limit to a measurement that was made while [lent] slots were lent. [peersMs] is
     * the median of [recentTokenMs] of the other servers of the generation, or null.
     */
    fun recordMeasurement(nowMs: Long, sample: ServerSample, lent: Int, peersMs: Double?) {
        addToTrends(sample, isNormal = !isStraggling)
        updateStraggling(nowMs, peersMs)
        if (isStraggling) return
        if (isOverTarget(sample, 1.0)) return shrink(nowMs)
        if (!isOverTarget(sample, GROW_BELOW)) grow(nowMs, lent)
    }

    private fun addToTrends(sample: ServerSample, isNormal: Boolean) {
        if (sample.tokenMs > 0) tokenTrend.add(sample.tokenMs, isNormal)
        if (sample.firstTokenMs > 0) firstTokenTrend.add(sample.firstTokenMs, isNormal)
        if (sample.prefillTokens <= 0) return
        prefillTrend.add(sample.prefillMs / sample.prefillTokens.toDouble(), isNormal)
    }

    private fun updateStraggling(nowMs: Long, peersMs: Double?) {
        val slowdowns = listOfNotNull(
            tokenTrend.slowdown(peersMs),
            firstTokenTrend.slowdown(null)?.div(FIRST_TOKEN_TOLERANCE),
            prefillTrend.slowdown(null)?.div(FIRST_TOKEN_TOLERANCE)
        )
        val worst = slowdowns.maxOrNull() ?: return
        if (!isStraggling && worst > STRAGGLING_RATIO) {
            isStraggling = true
            stragglingSinceMs = nowMs
            exactLimit = 1.0
        }
        if (!isStraggling) return
        val isNewNormal = nowMs - stragglingSinceMs >= NEW_NORMAL_MS
        if (worst < RECOVERED_RATIO || isNewNormal) isStraggling = false
    }

    private fun isOverTarget(sample: ServerSample, share: Double): Boolean =
        sample.firstTokenMs > pool.firstTokenTargetMs * share ||
            sample.tokenMs > pool.tokenTargetMs * share

    private fun shrink(nowMs: Long) {
        if (nowMs - shrunkAtMs < SHRINK_INTERVAL_MS) return
        shrunkAtMs = nowMs
        val floor = maxOf(1.0, slots * FLOOR_SHARE)
        exactLimit = maxOf(minOf(exactLimit, floor), exactLimit * SHRINK_FACTOR)
    }

    private fun grow(nowMs: Long, lent: Int) {
        if (nowMs - grownAtMs < GROW_INTERVAL_MS || lent < limit - 1) return
        grownAtMs = nowMs
        exactLimit = minOf(slots.toDouble(), exactLimit + maxOf(1.0, slots * GROW_SHARE))
    }

    private companion object {
        const val STRAGGLING_RATIO = 3.0
        const val RECOVERED_RATIO = 1.5
        const val FIRST_TOKEN_TOLERANCE = 1.3
        const val NEW_NORMAL_MS = 120_000L
        const val GROW_BELOW = 0.8
        const val SHRINK_FACTOR = 0.85
        const val FLOOR_SHARE = 0.25
        const val GROW_SHARE = 0.1
        const val SHRINK_INTERVAL_MS = 500L
        const val GROW_INTERVAL_MS = 500L
    }
}
