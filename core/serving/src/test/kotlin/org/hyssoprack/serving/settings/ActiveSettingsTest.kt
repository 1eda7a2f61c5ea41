package org.hyssoprack.serving.settings

import assertk.assertThat
import assertk.assertions.isEqualTo
import assertk.assertions.isFalse
import assertk.assertions.isSameInstanceAs
import assertk.assertions.isTrue
import net.jqwik.api.Example
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.Clock

class ActiveSettingsTest {
    private class TwoClocks(var monotonicMs: Long = 1_000, var wallMs: Long = 50_000) : Clock {
        override fun nowMs() = monotonicMs

        override fun epochMs() = wallMs
    }

    private fun settings(version: Long) =
        ServingSettings(BundleVersion(version), routes = emptyList(), services = emptyList())

    @Example
    fun `a version never goes back`() {
        val active = ActiveSettings(TwoClocks(), maxAgeMs = { 4_000 })
        assertThat(active.accept(settings(7))).isTrue()
        assertThat(active.accept(settings(5))).isFalse()
        assertThat(active.current?.version).isEqualTo(BundleVersion(7))
    }

    @Example
    fun `a version that is written again with another content is put in force`() {
        val active = ActiveSettings(TwoClocks(), maxAgeMs = { 4_000 })
        val rewritten = settings(7)
        assertThat(active.accept(settings(7))).isTrue()
        assertThat(active.accept(rewritten)).isTrue()
        assertThat(active.current).isSameInstanceAs(rewritten)
    }

    @Example
    fun `settings are fresh for a bounded time by either clock`() {
        class Case(val name: String, val monotonic: Long, val wall: Long, val fresh: Boolean)
        val cases = listOf(
            Case("right after the read", monotonic = 0, wall = 0, fresh = true),
            Case("within the bound", monotonic = 3_900, wall = 3_900, fresh = true),
            Case("after the bound", monotonic = 4_000, wall = 4_000, fresh = false),
            Case("suspended: the monotonic clock stood still", 10, wall = 6_000, fresh = false),
            Case("the time of day jumped back", monotonic = 4_100, wall = -9_000, fresh = false)
        )
        for (case in cases) {
            val clock = TwoClocks()
            val active = ActiveSettings(clock, maxAgeMs = { 4_000 })
            active.accept(settings(1))
            active.confirm(ClockReading.now(clock))
            clock.monotonicMs += case.monotonic
            clock.wallMs += case.wall
            assertThat(active.isFresh(), case.name).isEqualTo(case.fresh)
        }
    }

    @Example
    fun `age counts from the start of the read, and an older read changes nothing`() {
        val clock = TwoClocks()
        val active = ActiveSettings(clock, maxAgeMs = { 4_000 })
        active.accept(settings(1))
        val early = ClockReading.now(clock)
        clock.monotonicMs += 1_000
        clock.wallMs += 1_000
        val late = ClockReading.now(clock)
        active.confirm(late)
        active.confirm(early)
        assertThat(active.ageMs()).isEqualTo(0L)
    }

    @Example
    fun `without settings in force they are not fresh`() {
        val clock = TwoClocks()
        val active = ActiveSettings(clock, maxAgeMs = { 4_000 })
        active.confirm(ClockReading.now(clock))
        assertThat(active.isFresh()).isFalse()
    }
}
