package org.hyssoprack.serving.limits

import assertk.assertThat
import assertk.assertions.isEmpty
import assertk.assertions.isLessThanOrEqualTo
import assertk.assertions.isTrue
import kotlin.random.Random
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import net.jqwik.api.constraints.LongRange

class CrashingPartPropertyTest {
    @Property(tries = 30)
    fun `crashes and resets for other reasons block no part`(
        @ForAll @LongRange(max = 1L shl 40) seed: Long
    ) {
        val simulation = CrashSimulation(Random(seed))
        simulation.run(DURATION_MS)
        assertThat(simulation.soundBlocked).isEmpty()
    }

    @Property(tries = 30)
    fun `a deadly part ends at most five servers and passes no more but for trials`(
        @ForAll @LongRange(max = 1L shl 40) seed: Long,
        @ForAll @IntRange(min = 1, max = 3) attempts: Int
    ) {
        val simulation = CrashSimulation(Random(seed), deadlyGapMs = 1_000, attempts)
        simulation.run(DURATION_MS)
        assertThat(simulation.soundBlocked).isEmpty()
        assertThat(simulation.isBlocked).isTrue()
        assertThat(simulation.ended).isLessThanOrEqualTo(5)
        assertThat(simulation.sentAfterBlock).isLessThanOrEqualTo(2)
    }

    private companion object {
        const val DURATION_MS = 400_000L
    }
}
