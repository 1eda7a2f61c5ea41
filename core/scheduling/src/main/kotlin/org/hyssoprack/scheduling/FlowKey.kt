package org.hyssoprack.scheduling

import org.hyssoprack.common.ClientAccount

/** Requests that share one place in the fair order of a tier. */
internal data class FlowKey(val account: ClientAccount, val long: Boolean)
