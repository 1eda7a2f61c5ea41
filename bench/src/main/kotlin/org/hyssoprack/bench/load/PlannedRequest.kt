package org.hyssoprack.bench.load

import org.hyssoprack.bench.experiment.TrafficClass

/**
 * A request to send.
 *
 * @property atMs intended time after the begin of the run, in milliseconds.
 * @property prefixGroup number of the prefix that its prompt begins with; null for none.
 */
data class PlannedRequest(
    val number: Int,
    val atMs: Double,
    val traffic: TrafficClass,
    val promptTokens: Int,
    val answerTokens: Int,
    val prefixGroup: Int?
) {
    /** Text by which the answer's tokens are told from those of other requests. */
    val marker: String get() = "r$number"
}
