package org.hyssoprack.bench.experiment

import kotlinx.serialization.Serializable

/**
 * One run of an experiment.
 *
 * @property classes names of the classes to send, at their rates in the full mix; null for all.
 * @property faults whether the faults of the experiment are injected.
 */
@Serializable
data class Variant(
    val name: String,
    val routing: String = "cost",
    val queueing: String = "tiered",
    val classes: List<String>? = null,
    val faults: Boolean = true
)
