package org.hyssoprack.serving.placement

import org.hyssoprack.common.Clock

/**
 * Memory of one server in use by the requests that this host granted slots of it, and whether
 * another request fits. Addresses servers that crash when their requests exceed their memory.
 *
 * @property capacity configured memory in tokens.
 * @param outputs how far outputs go beyond their estimates.
 * @param bound share of the memory that this server is believed to hold.
 */
class MemoryLedger internal constructor(
    val capacity: Long,
    private val outputs: OutputSpread,
    private val bound: MemoryBound,
    private val clock: Clock
) {
    private var prompts = 0L
    private val sums = DoubleArray(OutputSpread.CLASSES)
    private val squares = DoubleArray(OutputSpread.CLASSES)
    private var largeCount = 0
    private var lossMs = Long.MIN_VALUE / 2
    private var usedAtLoss = 0.0
    private var lossCount = 0

    /** Tokens that the granted requests are expected to need, by the upper quantile of outputs. */
    val usedTokens: Double get() = prompts + outputs.expected(sums, squares)

    fun add(work: WorkEstimate) = change(work, 1)

    fun remove(work: WorkEstimate) = change(work, -1)

    /**
     * Returns whether [work] fits beside the granted requests and the [others] tokens of other
     * hosts; on a server that is otherwise idle, whether it fits the whole memory.
     */
    fun hasRoom(work: WorkEstimate, others: Int, isIdle: Boolean): Boolean {
        if (isIdle) return fitsWhole(work)
        change(work, 1)
        val needed = usedTokens + others
        change(work, -1)
        return needed <= capacity * bound.share
    }

    /** Whether the server could run [work] if it had no other request. */
    fun fitsWhole(work: WorkEstimate): Boolean = work.tokens <= capacity

    /** Whether [work] is one of the largest requests and the server already runs another one. */
    fun isSecondLarge(work: WorkEstimate): Boolean = largeCount > 0 && isLarge(work)

    /**
     * Records that the connection of a running request was lost, before the request is removed.
     * Several losses at once, with most of the memory in use, lower the bound.
     */
    fun recordLoss() {
        val nowMs = clock.nowMs()
        if (nowMs - lossMs > CRASH_MS) {
            lossMs = nowMs
            lossCount = 0
            usedAtLoss = usedTokens
        }
        lossCount++
        val isNearlyFull = usedAtLoss > capacity * bound.share * NEARLY_FULL
        if (lossCount == CRASH_LOSSES && isNearlyFull) bound.lower(usedAtLoss, capacity)
    }

    private fun isLarge(work: WorkEstimate) = work.tokens > capacity / LARGE_DIVISOR

    private fun change(work: WorkEstimate, sign: Int) {
        val output = work.outputTokens.toDouble()
        val index = OutputSpread.classOf(work.outputTokens)
        prompts += sign * work.promptTokens
        sums[index] += sign * output
        squares[index] += sign * output * output
        if (isLarge(work)) largeCount += sign
    }

    private companion object {
        // A crash ends all connections of a server within the time of a few messages.
        const val CRASH_MS = 500L

        // One lost connection alone is no sign of a crash.
        const val CRASH_LOSSES = 2
        const val NEARLY_FULL = 0.7
        const val LARGE_DIVISOR = 3
    }
}
