package org.hyssoprack.serving.placement

import assertk.assertThat
import assertk.assertions.isBetween
import assertk.assertions.isEqualTo
import net.jqwik.api.Example
import org.hyssoprack.common.ManualClock

class ServerPaceTest {
    private val clock = ManualClock(1_000)

    /** Guards against placement by figures that are old, extreme or of a single moment. */
    @Example
    fun `the factor follows recent figures and decays to 1`() {
        class Case(
            val name: String,
            val percents: List<Int>,
            val ageMs: Long,
            val factor: ClosedRange<Double>
        )
        val cases = listOf(
            Case("no figure", emptyList(), 0, 1.0..1.0),
            Case("one figure", listOf(300), 0, 2.99..3.01),
            Case("half a second old", listOf(300), 500, 1.99..2.01),
            Case("a second old", listOf(300), 1_000, 1.0..1.0),
            Case("fast", listOf(50), 0, 0.49..0.51),
            Case("steady", List(30) { 250 }, 0, 2.49..2.51),
            Case("one outlier among many", List(20) { 100 } + 2_000, 0, 1.0..1.4),
            Case("beyond the range", listOf(1_000_000), 0, 19.9..20.1),
            Case("below the range", listOf(-5), 0, 0.09..0.11)
        )
        for (case in cases) {
            val pace = paceAfter(case.percents)
            clock.advance(case.ageMs)
            assertThat(
                pace.current,
                case.name
            ).isBetween(case.factor.start, case.factor.endInclusive)
        }
    }

    /** Guards against streams of many seconds that are planned by a figure of one moment. */
    @Example
    fun `beyond a second, work is expected at the lasting pace`() {
        class Case(val name: String, val percents: List<Int>, val usual: Double, val ms: Double)
        val cases = listOf(
            Case("no figure", emptyList(), 5_000.0, 5_000.0),
            Case("short work", List(100) { 300 }, 200.0, 600.0),
            Case("long work, steadily slow", List(100) { 300 }, 5_000.0, 15_000.0),
            Case("long work, steadily fast", List(100) { 50 }, 6_000.0, 3_000.0)
        )
        for (case in cases) {
            val expected = paceAfter(case.percents).expectedMs(case.usual)
            assertThat(expected, case.name).isBetween(case.ms - 1, case.ms + 1)
        }
        val slowed = paceAfter(List(80) { 100 } + List(10) { 400 })
        assertThat(slowed.expectedMs(5_000.0) < 5_000 * slowed.current).isEqualTo(true)
    }

    private fun paceAfter(percents: List<Int>) = ServerPace(clock).also { pace ->
        percents.forEach {
            clock.advance(50)
            pace.record(it)
        }
    }
}
