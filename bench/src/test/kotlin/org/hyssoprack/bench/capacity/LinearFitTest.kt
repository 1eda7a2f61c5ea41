package org.hyssoprack.bench.capacity

import assertk.assertThat
import assertk.assertions.isCloseTo
import assertk.assertions.isEqualTo
import net.jqwik.api.Example

class LinearFitTest {
    private class Case(
        val name: String,
        val points: List<Point>,
        val slope: Double,
        val intercept: Double,
        val slopeError: Double
    )

    private val cases = listOf(
        Case("exact", points(1.0, 3.0, 5.0), slope = 2.0, intercept = 1.0, slopeError = 0.0),
        Case("flat", points(4.0, 4.0, 4.0), slope = 0.0, intercept = 4.0, slopeError = 0.0),
        Case("two points", points(0.0, 3.0), slope = 3.0, intercept = 0.0, slopeError = 0.0),
        Case(
            "scattered",
            points(0.0, 2.0, 1.0, 3.0),
            slope = 0.8,
            intercept = 0.3,
            slopeError = 0.424264
        )
    )

    @Example
    fun `slope, intercept, error and values match the least-squares line`() {
        for (case in cases) {
            val fit = LinearFit.of(case.points)
            assertThat(fit.slope, name = case.name).isCloseTo(case.slope, DELTA)
            assertThat(fit.intercept, name = case.name).isCloseTo(case.intercept, DELTA)
            assertThat(fit.slopeError, name = case.name).isCloseTo(case.slopeError, DELTA)
            assertThat(fit.at(10.0), name = case.name)
                .isCloseTo(case.intercept + 10 * case.slope, DELTA)
        }
    }

    @Example
    fun `an exact line explains all of the variance`() {
        assertThat(LinearFit.of(points(1.0, 3.0, 5.0)).determination).isEqualTo(1.0)
    }

    private fun points(vararg values: Double) =
        values.mapIndexed { index, y -> Point(index.toDouble(), y) }

    private companion object {
        const val DELTA = 1e-4
    }
}
