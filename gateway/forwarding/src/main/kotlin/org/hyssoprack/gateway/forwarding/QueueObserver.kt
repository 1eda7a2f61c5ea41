package org.hyssoprack.gateway.forwarding

import org.hyssoprack.common.ResultCode
import org.hyssoprack.serving.queue.QueuedRequest

/** Told how requests for slots end at the host that decides them. */
interface QueueObserver {
    /** [request] got a slot [waitedMs] after it asked for one, in milliseconds. */
    fun granted(request: QueuedRequest, waitedMs: Long)

    /** [request] was refused with [code], [waitedMs] after it asked for a slot, in milliseconds. */
    fun refused(request: QueuedRequest, code: ResultCode, waitedMs: Long)
}
