package org.hyssoprack.gateway.forwarding

import org.hyssoprack.common.ResultCode
import org.hyssoprack.serving.queue.QueuedRequest

/** Receives the outcomes of requests for slots on the host that decides them. */
interface QueueObserver {
    /** Called when [request] was granted a slot after [waitedMs] milliseconds. */
    fun granted(request: QueuedRequest, waitedMs: Long)

    /** Called when [request] was rejected with [code] after [waitedMs] milliseconds. */
    fun refused(request: QueuedRequest, code: ResultCode, waitedMs: Long)
}
