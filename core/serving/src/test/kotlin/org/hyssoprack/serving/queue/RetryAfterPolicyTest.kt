package org.hyssoprack.serving.queue

import assertk.assertThat
import assertk.assertions.isBetween
import kotlin.random.Random
import net.jqwik.api.Example

class RetryAfterPolicyTest {
    @Example
    fun `the retry delay grows with the overload up to what callers honour`() {
        class Case(val name: String, val lastedMs: Long, val leftMs: Long, val range: LongRange)
        val cases = listOf(
            Case("at the start", lastedMs = 0, leftMs = 15_000, range = 400L..800L),
            Case("after two seconds", lastedMs = 2_000, leftMs = 15_000, range = 2_000L..4_000L),
            Case("after a minute", lastedMs = 60_000, leftMs = 15_000, range = 5_000L..5_000L),
            Case("little time left", lastedMs = 60_000, leftMs = 1_500, range = 500L..500L),
            Case("hardly any time left", lastedMs = 0, leftMs = 90, range = 400L..400L)
        )
        for (case in cases) {
            val policy = RetryAfterPolicy(Random(3))
            for (ms in 0..case.lastedMs step 100) policy.retryAfterMs(ms, case.leftMs)
            val found = policy.retryAfterMs(case.lastedMs, case.leftMs)
            assertThat(found, case.name).isBetween(case.range.first, case.range.last)
        }
    }

    @Example
    fun `callers that are rejected together get different delays`() {
        val policy = RetryAfterPolicy(Random(3))
        for (ms in 0..3_000L step 100) policy.retryAfterMs(ms, 15_000)
        val times = List(50) { policy.retryAfterMs(3_000, 15_000) }
        assertThat(times.max() - times.min()).isBetween(1_000, 2_000)
    }
}
