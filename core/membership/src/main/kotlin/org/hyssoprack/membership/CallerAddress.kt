package org.hyssoprack.membership

import org.hyssoprack.common.HostRef
import org.hyssoprack.common.NetworkAddress

/** A caller address and the host run that listens on it. */
data class CallerAddress(val ref: HostRef, val address: NetworkAddress)
