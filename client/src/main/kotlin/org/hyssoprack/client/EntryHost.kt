package org.hyssoprack.client

import org.hyssoprack.common.HostRef
import org.hyssoprack.common.NetworkAddress

/** An entry host that accepts calls at [address]. */
data class EntryHost(val ref: HostRef, val address: NetworkAddress)
