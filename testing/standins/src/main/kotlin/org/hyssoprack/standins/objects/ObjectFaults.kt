package org.hyssoprack.standins.objects

import kotlinx.serialization.Serializable
import org.hyssoprack.standins.platform.Outage

/** Faults of the object store, set as a whole; [delayMs] is the time before each call is served. */
@Serializable
data class ObjectFaults(val outage: Outage = Outage.NONE, val delayMs: Long = 0)
