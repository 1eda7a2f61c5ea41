package org.hyssoprack.serving.limits

import assertk.assertThat
import assertk.assertions.isEmpty
import assertk.assertions.isLessThanOrEqualTo
import assertk.assertions.isTrue
import kotlin.random.Random
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.LongRange

/** A deadly request beside crashes and resets for other reasons. */
class CrashingRequestPropertyTest {
    @Property(tries = 60)
    fun `after the third crash and three seconds at most three repeats reach servers`(
        @ForAll @LongRange(max = 1L shl 40) seed: Long,
        @ForAll @LongRange(min = 50, max = 20_000) gapMs: Long
    ) {
        val simulation = CrashSimulation(Random(seed), repeatGapMs = gapMs)
        simulation.run(DURATION_MS)
        assertThat(simulation.soundBlocked).isEmpty()
        assertThat(simulation.repeatsAfterThird).isLessThanOrEqualTo(3)
    }

    @Property(tries = 60)
    fun `a deadly request and a deadly part are told from each other`(
        @ForAll @LongRange(max = 1L shl 40) seed: Long,
        @ForAll @LongRange(min = 200, max = 5_000) gapMs: Long,
        @ForAll @LongRange(min = 200, max = 5_000) repeatGapMs: Long
    ) {
        val simulation = CrashSimulation(
            random = Random(seed),
            deadlyGapMs = gapMs,
            deadlyAttempts = 2,
            deadlyStartMs = 5_000,
            repeatGapMs = repeatGapMs
        )
        simulation.run(DURATION_MS)
        assertThat(simulation.soundBlocked).isEmpty()
        assertThat(simulation.isBlocked).isTrue()
        assertThat(simulation.sentAfterFifth).isLessThanOrEqualTo(3)
        assertThat(simulation.repeatsAfterThird).isLessThanOrEqualTo(3)
    }

    private companion object {
        const val DURATION_MS = 400_000L
    }
}
