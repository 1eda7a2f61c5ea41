package org.hyssoprack.bench.capacity

import kotlinx.serialization.Serializable

/** One measurement: [y] at size [x]. */
@Serializable
data class Point(val x: Double, val y: Double)
