package org.hyssoprack.gateway.forwarding.ratelimit

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestCoroutineScheduler
import org.hyssoprack.common.Clock

/** [Clock] of a host in a simulation; [wallClockErrorMs] is the error of its wall clock. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class SimulatedTime(
    private val scheduler: TestCoroutineScheduler,
    private val wallClockErrorMs: Long = 0
) : Clock {
    override fun nowMs(): Long = START_MS + scheduler.currentTime

    override fun epochMs(): Long = nowMs() + wallClockErrorMs

    private companion object {
        const val START_MS = 1_000_000L
    }
}
