package org.hyssoprack.gateway.netty

import org.hyssoprack.gateway.CallerRequest

/** A complete [request] whose head takes [headBytes] of heap until it has been served. */
internal class HeldRequest(val request: CallerRequest, private val headBytes: Long) {
    val bytes: Long get() = headBytes + request.body.size
}
