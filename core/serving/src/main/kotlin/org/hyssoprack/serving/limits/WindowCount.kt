package org.hyssoprack.serving.limits

/** Sum over a sliding window of time, kept in slices. */
class WindowCount(private val windowMs: Long, slices: Int = SLICES) {
    private val sliceMs = (windowMs / slices).coerceAtLeast(1)
    private val counts = ArrayDeque<Slice>()
    private var sum = 0.0

    private class Slice(val startMs: Long, var amount: Double)

    fun add(nowMs: Long, amount: Double) {
        forget(nowMs)
        val startMs = nowMs - Math.floorMod(nowMs, sliceMs)
        val last = counts.lastOrNull()
        if (last != null && last.startMs == startMs) last.amount += amount else counts += Slice(startMs, amount)
        sum += amount
    }

    fun total(nowMs: Long): Double {
        forget(nowMs)
        return sum
    }

    private fun forget(nowMs: Long) {
        while (counts.isNotEmpty() && counts.first().startMs + sliceMs <= nowMs - windowMs) {
            sum -= counts.removeFirst().amount
        }
    }

    private companion object {
        const val SLICES = 20
    }
}
