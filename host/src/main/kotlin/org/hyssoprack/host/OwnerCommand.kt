package org.hyssoprack.host

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.HostRef
import org.hyssoprack.scheduling.Fleet
import org.hyssoprack.scheduling.SlotMessage

/** Commands to the [OwnerTask]. */
internal sealed interface OwnerCommand {
    data class Received(val from: HostRef, val message: SlotMessage) : OwnerCommand

    data class FleetChanged(val fleet: Fleet) : OwnerCommand

    data class LoadReported(val server: BackendServerId, val running: Int, val queued: Int) :
        OwnerCommand

    data class HostGone(val host: HostRef) : OwnerCommand

    data object Tick : OwnerCommand
}
