package org.hyssoprack.serving.placement

import kotlin.math.exp
import kotlin.math.ln
import org.hyssoprack.common.Clock

/**
 * Average of the factors that a server reported recently, weighted by their age. It is a geometric
 * mean, so that a single extreme figure among others changes it little.
 *
 * @param spanMs age at which a factor's weight has fallen to 1/e, and after which the average of a
 *   server that reports no more counts as 1.
 */
internal class PaceAverage(private val clock: Clock, private val spanMs: Double) {
    private var weight = 0.0
    private var logMean = 0.0
    private var mean = 1.0
    private var recordedMs = 0L

    /** The average; decays to 1, the usual pace, within the span after the last factor. */
    val factor: Double
        get() {
            if (weight == 0.0) return 1.0
            val left = 1 - (clock.nowMs() - recordedMs) / spanMs
            return if (left <= 0) 1.0 else 1 + (mean - 1) * left
        }

    fun record(factor: Double) {
        val nowMs = clock.nowMs()
        val kept = weight * exp(-(nowMs - recordedMs) / spanMs)
        logMean = (logMean * kept + ln(factor)) / (kept + 1)
        weight = kept + 1
        mean = exp(logMean)
        recordedMs = nowMs
    }
}
