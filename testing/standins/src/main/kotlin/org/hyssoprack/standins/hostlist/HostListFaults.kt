package org.hyssoprack.standins.hostlist

import kotlinx.serialization.Serializable
import org.hyssoprack.standins.platform.Outage

/** Faults of the host list, set as a whole. */
@Serializable
data class HostListFaults(val outage: Outage = Outage.NONE)
