package org.hyssoprack.scheduling

import org.hyssoprack.common.ClientAccount

/** Identifies the requests that fair queueing treats as one flow of a tier. */
internal data class FlowKey(val account: ClientAccount, val long: Boolean)
