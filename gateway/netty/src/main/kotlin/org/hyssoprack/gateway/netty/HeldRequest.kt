package org.hyssoprack.gateway.netty

import org.hyssoprack.gateway.CallerRequest

/** A complete [request] that takes [bytes] of heap until its response is complete. */
internal class HeldRequest(val request: CallerRequest, val bytes: Long)
