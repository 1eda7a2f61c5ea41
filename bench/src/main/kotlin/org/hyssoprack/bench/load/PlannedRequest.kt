package org.hyssoprack.bench.load

import org.hyssoprack.bench.experiment.TrafficClass

/**
 * A request to send.
 *
 * @property atMs planned send time after the start of the run, in milliseconds.
 * @property prefixGroup index of the shared prefix of its prompt; null for none.
 */
data class PlannedRequest(
    val number: Int,
    val atMs: Double,
    val traffic: TrafficClass,
    val promptTokens: Int,
    val answerTokens: Int,
    val prefixGroup: Int?
) {
    /** Text that identifies the response tokens of this request. */
    val marker: String get() = "r$number"
}
