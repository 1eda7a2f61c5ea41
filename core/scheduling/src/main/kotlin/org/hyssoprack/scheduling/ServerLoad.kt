package org.hyssoprack.scheduling

import org.hyssoprack.common.Generation
import org.hyssoprack.common.PoolName
import org.hyssoprack.policy.Pool

/** Limit, speed and load of one backend server, as its owner measures them. */
internal class ServerLoad(
    private val peers: Peers,
    private val generation: Generation,
    slots: Int,
    pool: Pool
) {
    private val controller = LimitController(slots, pool)
    private val poolName: PoolName = pool.name
    private val meter = SpeedMeter()
    private val holdMs = HashMap<Boolean, Ewma>()
    private var reportedLoad = 0

    /** Maximum number of slots that may be lent. */
    val limit: Int get() = controller.limit

    /** Recent time between tokens in milliseconds, or null if unknown. */
    val recentTokenMs: Double? get() = controller.recentTokenMs

    /** Returns true for a different server of the same generation and pool as [other]. */
    fun isPeerOf(other: ServerLoad): Boolean =
        this !== other && generation == other.generation && poolName == other.poolName

    fun changeSlots(slots: Int, pool: Pool) = controller.change(slots, pool)

    fun recordReport(running: Int, queued: Int) {
        reportedLoad = running + queued
    }

    /** Adds a measurement that was made while [lent] slots were lent. */
    fun recordMeasurement(nowMs: Long, sample: ServerSample, lent: Int) {
        meter.addSample(nowMs, sample)
        controller.recordMeasurement(nowMs, sample, lent, peers.medianMs(this))
    }

    /** Adds the time for which a request held its slot. */
    fun recordHoldTime(long: Boolean, durationMs: Long) {
        holdMs.getOrPut(long) { Ewma(SpeedMeter.WEIGHT) }.add(durationMs.toDouble())
    }

    /** Returns the expected time for which a request holds its slot, in milliseconds. */
    fun holdMs(long: Boolean): Double =
        holdMs[long]?.value ?: if (long) DEFAULT_LONG_HOLD_MS else DEFAULT_SHORT_HOLD_MS

    fun digest(nowMs: Long, lent: Int, waiting: List<Int>): ServerDigest {
        val isOld = nowMs - meter.measuredAtMs > MEASUREMENT_TERM_MS
        val speed = if (isOld) SpeedEstimate() else meter.estimate()
        return ServerDigest(
            limit = limit,
            lent = lent,
            waiting = waiting,
            firstTokenMs = speed.firstTokenMs,
            tokenMs = speed.tokenMs,
            prefillTokensPerMs = speed.prefillTokensPerMs,
            reportedLoad = reportedLoad,
            straggling = controller.isStraggling
        )
    }

    /** Access to the other servers that the same host owns. */
    fun interface Peers {
        /**
         * Returns the median [recentTokenMs] of the peers of [load], or null if there are too few.
         */
        fun medianMs(load: ServerLoad): Double?
    }

    private companion object {
        const val MEASUREMENT_TERM_MS = 10_000L
        const val DEFAULT_SHORT_HOLD_MS = 500.0
        const val DEFAULT_LONG_HOLD_MS = 10_000.0
    }
}
