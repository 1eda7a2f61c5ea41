package org.hyssoprack.gateway.forwarding

import org.hyssoprack.common.ResultCode
import org.hyssoprack.serving.queue.QueuedRequest

/** Ignores all outcomes. */
internal object NoOpQueueObserver : QueueObserver {
    override fun granted(request: QueuedRequest, waitedMs: Long, isReturning: Boolean) = Unit

    override fun refused(
        request: QueuedRequest,
        code: ResultCode,
        waitedMs: Long,
        isReturning: Boolean
    ) = Unit
}
