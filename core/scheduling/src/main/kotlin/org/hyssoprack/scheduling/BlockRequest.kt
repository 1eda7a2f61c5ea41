package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId

/** Slots of a server for which an entry host expects requests of [kind]. */
internal data class BlockRequest(val server: BackendServerId, val kind: SlotKind, val count: Int)
