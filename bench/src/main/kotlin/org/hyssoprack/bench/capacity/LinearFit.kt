package org.hyssoprack.bench.capacity

import kotlin.math.sqrt
import kotlinx.serialization.Serializable

/**
 * Least-squares straight line through measured points.
 *
 * @property slope change of y per unit of x.
 * @property slopeError standard error of [slope]; 0 with fewer than three points.
 * @property intercept y at x = 0.
 * @property determination share of the variance of y that the line explains, from 0 to 1.
 */
@Serializable
data class LinearFit(
    val slope: Double,
    val slopeError: Double,
    val intercept: Double,
    val determination: Double
) {
    /** Returns the value of the line at [x]. */
    fun at(x: Double): Double = intercept + slope * x

    companion object {
        /** Fits a line through [points], which must differ in x. */
        fun of(points: List<Point>): LinearFit {
            val meanX = points.sumOf { it.x } / points.size
            val meanY = points.sumOf { it.y } / points.size
            val varianceX = points.sumOf { (it.x - meanX) * (it.x - meanX) }
            val varianceY = points.sumOf { (it.y - meanY) * (it.y - meanY) }
            val slope = points.sumOf { (it.x - meanX) * (it.y - meanY) } / varianceX
            val intercept = meanY - slope * meanX
            val residual = points.sumOf { square(it.y - intercept - slope * it.x) }
            val isOverdetermined = points.size > 2
            val error = if (isOverdetermined) {
                sqrt(
                    residual / (points.size - 2) / varianceX
                )
            } else {
                0.0
            }
            return LinearFit(
                slope = slope,
                slopeError = error,
                intercept = intercept,
                determination = if (varianceY == 0.0) 1.0 else 1 - residual / varianceY
            )
        }

        private fun square(value: Double): Double = value * value
    }
}
