package org.hyssoprack.gateway.forwarding

import assertk.assertThat
import assertk.assertions.containsExactly
import assertk.assertions.isBetween
import assertk.assertions.isEqualTo
import kotlinx.coroutines.runBlocking
import net.jqwik.api.Example
import org.hyssoprack.common.Clock
import org.hyssoprack.common.NoOpEventLog

class HostLifecycleTest {
    /** Advances by [stepMs] with each read. */
    private class SteppingClock(private val stepMs: Long) : Clock {
        private var ms = 0L

        override fun nowMs(): Long {
            ms += stepMs
            return ms
        }

        override fun epochMs(): Long = ms
    }

    @Example
    fun `a shutdown waits for requests in progress, but not beyond its limit`() {
        class Case(val name: String, val busyUntilMs: Long, val least: Long, val most: Long)
        val cases = listOf(
            Case("idle", busyUntilMs = 0, least = 3_500, most = 3_800),
            Case("busy for five seconds", busyUntilMs = 5_000, least = 5_000, most = 5_300),
            Case("busy beyond the limit", busyUntilMs = 60_000, least = 7_700, most = 8_000)
        )
        for (case in cases) {
            val clock = SteppingClock(stepMs = 50)
            val lifecycle = HostLifecycle(clock, NoOpEventLog, stopWithinMs = { 8_000 }) {
                if (clock.epochMs() < case.busyUntilMs) 1 else 0
            }
            val order = ArrayList<String>()
            runBlocking {
                lifecycle.stop(leave = { order += "leave" }, closeIdle = { order += "close" })
            }
            assertThat(order, case.name).containsExactly("leave", "close")
            assertThat(clock.epochMs(), case.name).isBetween(case.least, case.most + STEPS_MS)
            assertThat(lifecycle.isStopping).isEqualTo(true)
            assertThat(lifecycle.isRefusing).isEqualTo(true)
        }
    }

    @Example
    fun `a host that is not shutting down rejects nothing`() {
        val lifecycle = HostLifecycle(SteppingClock(50), NoOpEventLog, { 8_000 }) { 0 }
        assertThat(lifecycle.isStopping).isEqualTo(false)
        assertThat(lifecycle.isRefusing).isEqualTo(false)
    }

    private companion object {
        // Clock reads after the shutdown has ended.
        const val STEPS_MS = 200L
    }
}
