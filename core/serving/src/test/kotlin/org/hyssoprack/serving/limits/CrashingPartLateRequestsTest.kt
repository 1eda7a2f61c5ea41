package org.hyssoprack.serving.limits

import assertk.assertThat
import assertk.assertions.isEmpty
import assertk.assertions.isLessThanOrEqualTo
import assertk.assertions.isTrue
import kotlin.random.Random
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import net.jqwik.api.constraints.LongRange

class CrashingPartLateRequestsTest {
    @Property(tries = 100)
    fun `after the fifth crash and three seconds at most three requests reach servers`(
        @ForAll @LongRange(max = 1L shl 40) seed: Long,
        @ForAll @LongRange(min = 50, max = 20_000) gapMs: Long,
        @ForAll @IntRange(min = 1, max = 3) attempts: Int
    ) {
        val startMs = if (seed % 2 == 0L) 0L else 5_000L
        val simulation = CrashSimulation(Random(seed), gapMs, attempts, startMs)
        simulation.run(DURATION_MS)
        assertThat(simulation.soundBlocked).isEmpty()
        assertThat(simulation.isBlocked).isTrue()
        assertThat(simulation.sentAfterFifth).isLessThanOrEqualTo(3)
    }

    @Example
    fun `a sound request at three of five crashed servers does not hide the deadly part`() =
        `after the fifth crash and three seconds at most three requests reach servers`(
            seed = 619,
            gapMs = 68,
            attempts = 1
        )

    private companion object {
        const val DURATION_MS = 400_000L
    }
}
