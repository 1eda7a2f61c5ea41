package org.hyssoprack.bench.experiment

import kotlinx.serialization.Serializable

/** Multiplies the request rate of a class by [factor]; times are seconds of the counted time. */
@Serializable
data class Burst(val fromS: Double, val toS: Double, val factor: Double)
