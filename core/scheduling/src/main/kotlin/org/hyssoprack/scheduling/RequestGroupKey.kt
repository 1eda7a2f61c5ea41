package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.ClientAccount

/** Identifies the requests of an entry host that one registration with an owner covers. */
internal data class RequestGroupKey(
    val server: BackendServerId,
    val kind: SlotKind,
    val account: ClientAccount
)
