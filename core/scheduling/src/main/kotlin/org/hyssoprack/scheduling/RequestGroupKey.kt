package org.hyssoprack.scheduling

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.ClientAccount

/** What the owner of a server registers together for an entry host. */
internal data class RequestGroupKey(
    val server: BackendServerId,
    val kind: SlotKind,
    val account: ClientAccount
)
