package org.hyssoprack.standins.weights

import kotlinx.serialization.Serializable
import org.hyssoprack.standins.platform.Outage

/** Faults of the weight store; [callsPerSecond] replaces the rate limit if not null. */
@Serializable
data class WeightFaults(val outage: Outage = Outage.NONE, val callsPerSecond: Int? = null)
