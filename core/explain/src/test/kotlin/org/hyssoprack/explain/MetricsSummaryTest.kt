package org.hyssoprack.explain

import assertk.assertThat
import assertk.assertions.containsExactly
import net.jqwik.api.Example

class MetricsSummaryTest {
    @Example
    fun `counters are added up over hosts and timers give their mean`() {
        val one = """
            # HELP hyssoprack_requests_total
            hyssoprack_requests_total{code="ok",route="r"} 3.0
            hyssoprack_queued_seconds_count{route="r"} 2
            hyssoprack_queued_seconds_sum{route="r"} 0.5
            jvm_threads 9
        """.trimIndent()
        val other = """
            hyssoprack_requests_total{code="ok",route="r"} 4.0
            hyssoprack_queued_seconds_count{route="r"} 3
            hyssoprack_queued_seconds_sum{route="r"} 0.5
        """.trimIndent()
        assertThat(MetricsSummary(listOf(one, other)).lines()).containsExactly(
            "hyssoprack_queued_seconds route=\"r\": 5, mean 200.0 ms",
            "hyssoprack_requests code=\"ok\",route=\"r\": 7"
        )
    }
}
