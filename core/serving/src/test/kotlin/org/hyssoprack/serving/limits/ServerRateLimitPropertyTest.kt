package org.hyssoprack.serving.limits

import assertk.assertThat
import assertk.assertions.isGreaterThanOrEqualTo
import assertk.assertions.isLessThanOrEqualTo
import kotlin.random.Random
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.DoubleRange
import net.jqwik.api.constraints.IntRange
import net.jqwik.api.constraints.LongRange
import org.hyssoprack.common.Clock
import org.hyssoprack.common.ManualClock

class ServerRateLimitPropertyTest {
    private class SkewedClock(private val clock: Clock, private val errorMs: Long) : Clock {
        override fun nowMs(): Long = clock.nowMs()

        override fun epochMs(): Long = clock.epochMs() + errorMs
    }

    @Property(tries = 100)
    fun `the owner admits the rate of the server and no more`(
        @ForAll @DoubleRange(min = 0.02, max = 200.0) perS: Double
    ) {
        val clock = ManualClock(0)
        val limit = limit(perS, clock, ownerShare = 1.0)
        val sent = ArrayList<Long>()
        while (clock.nowMs() < SIMULATED_MS) {
            if (limit.waitMs() == 0L) {
                limit.take()
                sent += clock.nowMs()
            } else {
                clock.advance(minOf(limit.waitMs(), MAX_STEP_MS))
            }
        }
        assertThat(highestCount(sent)).isLessThanOrEqualTo(allowedCount(perS))
        assertThat(sent.size).isGreaterThanOrEqualTo((perS * SIMULATED_MS / 1_000 - 1).toInt())
    }

    @Property(tries = 100)
    fun `hosts without an owner admit less than the rate of the server between them`(
        @ForAll @DoubleRange(min = 0.02, max = 200.0) perS: Double,
        @ForAll @IntRange(min = 1, max = 40) hosts: Int,
        @ForAll @LongRange(max = 1L shl 40) seed: Long
    ) {
        val random = Random(seed)
        val clock = ManualClock(random.nextLong(1L shl 41))
        val limits = List(hosts) {
            val skewed = SkewedClock(clock, random.nextLong(-MAX_ERROR_MS, MAX_ERROR_MS))
            limit(perS, skewed, ownerShare = 0.0, HostPosition(it, hosts))
        }
        val sent = ArrayList<Long>()
        repeat((SIMULATED_MS / STEP_MS).toInt()) {
            clock.advance(STEP_MS)
            for (limit in limits) {
                while (limit.waitMs() == 0L) {
                    limit.take()
                    sent += clock.nowMs()
                }
            }
        }
        assertThat(highestCount(sent)).isLessThanOrEqualTo((perS * WINDOW_MS / 2_000 + 4).toInt())
    }

    private fun limit(
        perS: Double,
        clock: Clock,
        ownerShare: Double,
        position: HostPosition = HostPosition(index = 0, count = 1)
    ) = ServerRateLimit(
        perS = perS,
        clock = clock,
        ownerShare = { ownerShare },
        position = { position },
        offset = 7
    )

    private fun highestCount(sent: List<Long>): Int {
        var first = 0
        return sent.indices.maxOfOrNull { last ->
            while (sent[first] <= sent[last] - WINDOW_MS) first++
            last - first + 1
        } ?: 0
    }

    private fun allowedCount(perS: Double): Int = (1.5 * perS * WINDOW_MS / 1_000 + 5).toInt()

    private companion object {
        const val WINDOW_MS = 4_000L
        const val SIMULATED_MS = 60_000L
        const val STEP_MS = 20L
        const val MAX_STEP_MS = 1_000L
        const val MAX_ERROR_MS = 50L
    }
}
