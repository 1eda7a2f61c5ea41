package org.hyssoprack.bench.experiment

import kotlinx.serialization.Serializable

/**
 * One run of an experiment.
 *
 * @property classes names of the classes that are sent, at the rates of the whole mix; null for all.
 * @property faults whether the experiment's faults happen.
 */
@Serializable
data class Variant(
    val name: String,
    val routing: String = "cost",
    val queueing: String = "tiered",
    val classes: List<String>? = null,
    val faults: Boolean = true
)
