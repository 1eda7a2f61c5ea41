package org.hyssoprack.gateway.forwarding

import assertk.assertThat
import assertk.assertions.containsExactly
import assertk.assertions.isBetween
import assertk.assertions.isEqualTo
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.test.advanceUntilIdle
import kotlinx.coroutines.test.runTest
import net.jqwik.api.Example
import org.hyssoprack.common.Clock
import org.hyssoprack.common.NoOpEventLog
import org.hyssoprack.gateway.forwarding.ratelimit.SimulatedTime

@OptIn(ExperimentalCoroutinesApi::class)
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

    /** Guards against a process that exits in the middle of its drain. */
    @Example
    fun `a further stop signal ends the shutdown no sooner`() = runTest {
        val clock = SimulatedTime(testScheduler)
        val busyUntilMs = clock.nowMs() + BUSY_MS
        val lifecycle = HostLifecycle(clock, NoOpEventLog, stopWithinMs = { 8_000 }) {
            if (clock.nowMs() < busyUntilMs) 1 else 0
        }
        val order = ArrayList<String>()
        val ends = ArrayList<Long>()
        repeat(3) { signal ->
            launch {
                delay(signal * 1_000L)
                lifecycle.stop(leave = { order += "leave" }, closeIdle = { order += "close" })
                ends += clock.nowMs()
            }
        }
        advanceUntilIdle()
        assertThat(order).containsExactly("leave", "close")
        assertThat(ends).containsExactly(busyUntilMs, busyUntilMs, busyUntilMs)
    }

    @Example
    fun `a signal after the end does not wait`() = runTest {
        val clock = SimulatedTime(testScheduler)
        val lifecycle = HostLifecycle(clock, NoOpEventLog, stopWithinMs = { 8_000 }) { 0 }
        lifecycle.stop(leave = {}, closeIdle = {})
        val endMs = clock.nowMs()
        lifecycle.stop(leave = {}, closeIdle = {})
        assertThat(clock.nowMs()).isEqualTo(endMs)
    }

    @Example
    fun `a host that is not shutting down rejects nothing`() {
        val lifecycle = HostLifecycle(SteppingClock(50), NoOpEventLog, { 8_000 }) { 0 }
        assertThat(lifecycle.isStopping).isEqualTo(false)
        assertThat(lifecycle.isRefusing).isEqualTo(false)
    }

    private companion object {
        /** Time until the requests in progress end. */
        const val BUSY_MS = 6_000L

        // Clock reads after the shutdown has ended.
        const val STEPS_MS = 200L
    }
}
