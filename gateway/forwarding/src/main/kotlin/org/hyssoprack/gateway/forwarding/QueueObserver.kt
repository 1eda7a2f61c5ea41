package org.hyssoprack.gateway.forwarding

import org.hyssoprack.common.ResultCode
import org.hyssoprack.serving.queue.QueuedRequest

/**
 * Receives the outcomes of requests for slots on the host that decides them. A request is returning
 * if its caller was refused before and told to return about now.
 */
interface QueueObserver {
    /** Called when [request] was granted a slot after [waitedMs] milliseconds. */
    fun granted(request: QueuedRequest, waitedMs: Long, isReturning: Boolean)

    /** Called when [request] was rejected with [code] after [waitedMs] milliseconds. */
    fun refused(request: QueuedRequest, code: ResultCode, waitedMs: Long, isReturning: Boolean)
}
