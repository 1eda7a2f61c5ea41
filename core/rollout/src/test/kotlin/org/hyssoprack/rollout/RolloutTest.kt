package org.hyssoprack.rollout

import assertk.assertThat
import assertk.assertions.isEqualTo
import assertk.assertions.isFalse
import assertk.assertions.isLessThanOrEqualTo
import assertk.assertions.isNull
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.LongRange
import org.hyssoprack.common.ManualClock
import org.hyssoprack.common.ServiceId

class RolloutTest {
    private val clock = ManualClock(0)
    private val bounds = RolloutBounds(exposeShare = 0.1, exposeSlack = 50.0)

    @Example
    fun `a version without a server is waited for, and rolled back before the deadline`() {
        val rollout = rollout()
        clock.advance(10_000)
        assertThat(rollout.decide(hasNewServer = false)).isEqualTo(RolloutState.RUNNING)
        clock.advance(300)
        assertThat(rollout.decide(hasNewServer = false)).isEqualTo(RolloutState.ROLLED_BACK)
    }

    @Example
    fun `a success counts only once it is stored, a roll-back at once`() {
        val rollout = rollout()
        clock.advance(10_300)
        assertThat(rollout.decide(hasNewServer = true)).isEqualTo(RolloutState.SUCCEEDED)
        assertThat(rollout.state).isEqualTo(RolloutState.RUNNING)
        val bad = rollout()
        repeat(10) { bad.recordResponse(VersionResponse(null, isNew = false)) }
        repeat(8) { bad.recordResponse(VersionResponse(null, isNew = true, isFailed = true)) }
        assertThat(bad.state).isEqualTo(RolloutState.ROLLED_BACK)
        bad.adopt(RolloutState.RUNNING)
        assertThat(bad.mayExpose).isFalse()
    }

    @Example
    fun `a version that never responds gets few requests`() {
        val rollout = rollout()
        repeat(200) { rollout.recordGrant(isNew = false) }
        rollout.exposure.recordReserved(50)
        repeat(50) { if (rollout.mayExpose) rollout.recordGrant(isNew = true) }
        assertThat(rollout.exposure.exposed).isEqualTo(12)
    }

    @Property(tries = 100)
    fun `successive deciders together stay within the exposure bound`(
        @ForAll @LongRange(max = 1L shl 40) seed: Long
    ) {
        val random = kotlin.random.Random(seed)
        var stored = ExposureLimit(bounds)
        val active = ArrayList<ExposureLimit>()
        var exposed = 0
        var total = 0
        var reserved = 0L
        repeat(2_000) {
            if (random.nextInt(100) == 0 || active.isEmpty()) {
                // The former decider may go on for a while with what it reserved.
                stored = ExposureLimit(bounds, stored.total, reserved)
                active += stored
            }
            stored.dueReservation()?.let {
                reserved = it
                stored.recordReserved(it)
            }
            val decider = active.random(random)
            val isNew = decider.mayExpose
            decider.recordGrant(isNew)
            total++
            if (isNew) exposed++
        }
        assertThat(exposed.toDouble()).isLessThanOrEqualTo(0.1 * total + 50)
    }

    @Example
    fun `no reservation exceeds what the bounds permit`() {
        val limit = ExposureLimit(RolloutBounds(exposeShare = 0.1, exposeSlack = 0.0))
        assertThat(limit.dueReservation()).isNull()
        repeat(100) { limit.recordGrant(isNew = false) }
        assertThat(limit.dueReservation()).isEqualTo(9L)
    }

    private fun rollout() = Rollout(
        order = RolloutOrder(ServiceId("s"), "v2", durationMs = 12_000),
        bounds = bounds,
        startedMs = clock.nowMs(),
        clock = clock,
        record = RolloutRecord("v2", 1, 0, 0, "h")
    )
}
