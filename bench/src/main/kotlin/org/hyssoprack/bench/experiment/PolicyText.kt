package org.hyssoprack.bench.experiment

/** Inserts the routing and queueing rules of a variant into the policy of its experiment. */
object PolicyText {
    /** Returns the text in the policy language. */
    fun of(experiment: Experiment, variant: Variant): String =
        experiment.policy.joinToString("\n") {
            it.replace("{routing}", variant.routing).replace("{queueing}", variant.queueing)
        }
}
