package org.hyssoprack.membership

import org.hyssoprack.common.HostRef
import org.hyssoprack.common.NetworkAddress

/** An address that a caller may use, and the host run behind it. */
data class CallerAddress(val ref: HostRef, val address: NetworkAddress)
