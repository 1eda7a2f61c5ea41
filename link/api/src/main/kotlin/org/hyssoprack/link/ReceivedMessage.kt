package org.hyssoprack.link

import org.hyssoprack.common.HostMessage
import org.hyssoprack.common.HostRef

/** A message and the host incarnation that sent it. */
data class ReceivedMessage(val from: HostRef, val message: HostMessage)
