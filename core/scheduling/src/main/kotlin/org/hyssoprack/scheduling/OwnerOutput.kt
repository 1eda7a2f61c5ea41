package org.hyssoprack.scheduling

import org.hyssoprack.common.HostId

/** A message that the owner must send to an entry host, which may be the same host. */
data class OwnerOutput(val to: HostId, val message: SlotMessage)
