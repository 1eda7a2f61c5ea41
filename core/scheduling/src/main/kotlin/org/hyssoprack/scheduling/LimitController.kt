package org.hyssoprack.scheduling

import kotlin.math.roundToInt
import org.hyssoprack.policy.Pool

/**
 * Adapts how many slots of one server may be lent. The limit shrinks while answers are slower than
 * the pool's targets and grows slowly while they are faster. A server that suddenly is much slower
 * than before, or than its peers, is a straggler: it gets one slot until it has recovered.
 */
internal class LimitController(private var slots: Int, private var pool: Pool) {
    private val tokenPace = LatencyTrend()
    private val firstTokenPace = LatencyTrend()
    private val prefillPace = LatencyTrend()
    private var exact = slots.toDouble()
    private var shrunkAtMs = Long.MIN_VALUE / 2
    private var grownAtMs = Long.MIN_VALUE / 2
    private var stragglingSinceMs = 0L
    var isStraggling = false
        private set

    val limit: Int get() = exact.roundToInt().coerceIn(minOf(1, slots), slots)

    /** Recent time between tokens in milliseconds, or null if unknown. */
    val recentTokenMs: Double? get() = tokenPace.recent

    fun change(slots: Int, pool: Pool) {
        if (this.slots <= 0) exact = slots.toDouble()
        if (this.slots > 0) exact = exact * slots / this.slots
        this.slots = slots
        this.pool = pool
    }

    /**
     * Takes in a measurement that was made while [lent] slots were lent. [peersMs] is the median of
     * [recentTokenMs] of other servers of the generation, or null.
     */
    fun measured(nowMs: Long, sample: ServerSample, lent: Int, peersMs: Double?) {
        addPaces(sample, isNormal = !isStraggling)
        findStraggler(nowMs, peersMs)
        if (isStraggling) return
        if (isOverTarget(sample, 1.0)) return shrink(nowMs)
        if (!isOverTarget(sample, GROW_BELOW)) grow(nowMs, lent)
    }

    private fun addPaces(sample: ServerSample, isNormal: Boolean) {
        if (sample.tokenMs > 0) tokenPace.add(sample.tokenMs, isNormal)
        if (sample.firstTokenMs > 0) firstTokenPace.add(sample.firstTokenMs, isNormal)
        if (sample.prefillTokens <= 0) return
        prefillPace.add(sample.prefillMs / sample.prefillTokens.toDouble(), isNormal)
    }

    private fun findStraggler(nowMs: Long, peersMs: Double?) {
        val slowdowns = listOfNotNull(
            tokenPace.slowdown(peersMs),
            firstTokenPace.slowdown(null)?.div(FIRST_TOKEN_TOLERANCE),
            prefillPace.slowdown(null)?.div(FIRST_TOKEN_TOLERANCE)
        )
        val worst = slowdowns.maxOrNull() ?: return
        if (!isStraggling && worst > STRAGGLING_RATIO) {
            isStraggling = true
            stragglingSinceMs = nowMs
            exact = 1.0
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
        exact = maxOf(minOf(exact, floor), exact * SHRINK_FACTOR)
    }

    private fun grow(nowMs: Long, lent: Int) {
        if (nowMs - grownAtMs < GROW_INTERVAL_MS || lent < limit - 1) return
        grownAtMs = nowMs
        exact = minOf(slots.toDouble(), exact + maxOf(1.0, slots * GROW_SHARE))
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
