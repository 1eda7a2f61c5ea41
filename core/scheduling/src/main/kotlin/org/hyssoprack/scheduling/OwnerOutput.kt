package org.hyssoprack.scheduling

import org.hyssoprack.common.HostId

/** A message that the owner must send to an entry host, which may be its own. */
data class OwnerOutput(val to: HostId, val message: SlotMessage)
