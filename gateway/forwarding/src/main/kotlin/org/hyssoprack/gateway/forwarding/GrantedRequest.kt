package org.hyssoprack.gateway.forwarding

import org.hyssoprack.gateway.ServerConnection
import org.hyssoprack.gateway.forwarding.slots.Slot
import org.hyssoprack.serving.placement.SlotOutcome
import org.hyssoprack.serving.placement.SlotResult

/**
 * A request as the settings in force admit it, and the slot that it was granted.
 *
 * @property connection a connection to the slot's server, if it has been opened already.
 */
internal class GrantedRequest(
    val call: AdmittedRequest,
    val slot: Slot,
    val connection: ServerConnection? = null
) {
    /** Gives the slot back unused. */
    fun giveBack() {
        slot.release(SlotResult(SlotOutcome.UNUSED))
        // How long its server keeps the connection is not known any more.
        connection?.close()
    }
}
