package org.hyssoprack.bench.capacity

import kotlinx.serialization.Serializable

/** A single measured value. */
@Serializable
data class Figure(val name: String, val unit: String, val value: Double)
