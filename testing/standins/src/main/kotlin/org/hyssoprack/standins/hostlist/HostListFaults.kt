package org.hyssoprack.standins.hostlist

import kotlinx.serialization.Serializable
import org.hyssoprack.standins.platform.Outage

/** Faults of the host list; setting them replaces all earlier ones. */
@Serializable
data class HostListFaults(val outage: Outage = Outage.NONE)
