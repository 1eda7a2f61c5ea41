package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId

/** A block of [count] slots that an entry host expects to need for requests of [kind]. */
internal data class BlockRequest(val server: BackendServerId, val kind: SlotKind, val count: Int)
