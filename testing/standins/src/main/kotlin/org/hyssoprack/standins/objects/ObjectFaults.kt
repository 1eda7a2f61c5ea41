package org.hyssoprack.standins.objects

import kotlinx.serialization.Serializable
import org.hyssoprack.standins.platform.Outage

/** Faults of the object store; each call is served after a delay of [delayMs] milliseconds. */
@Serializable
data class ObjectFaults(val outage: Outage = Outage.NONE, val delayMs: Long = 0)
