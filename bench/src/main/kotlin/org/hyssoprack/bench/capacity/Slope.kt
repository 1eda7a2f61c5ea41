package org.hyssoprack.bench.capacity

import kotlinx.serialization.Serializable

/**
 * Linear growth of a cost with a size.
 *
 * @property name what was measured.
 * @property size quantity that the cost grows with.
 * @property unit unit of the cost.
 */
@Serializable
data class Slope(
    val name: String,
    val size: String,
    val unit: String,
    val points: List<Point>,
    val fit: LinearFit
) {
    companion object {
        /** Fits the slope through [points]. */
        fun of(name: String, size: String, unit: String, points: List<Point>): Slope =
            Slope(name, size, unit, points, LinearFit.of(points))
    }
}
