package org.hyssoprack.gateway.forwarding

import io.micrometer.core.instrument.MeterRegistry
import java.time.Duration
import org.hyssoprack.common.ResultCode
import org.hyssoprack.serving.queue.QueuedRequest

/** Records the outcomes and waiting times of requests for slots, by service, rank and
 * whether the caller returns when told to. */
class QueueMetrics(private val registry: MeterRegistry) : QueueObserver {
    override fun granted(request: QueuedRequest, waitedMs: Long, isReturning: Boolean) =
        record(request, "granted", waitedMs, isReturning)

    override fun refused(
        request: QueuedRequest,
        code: ResultCode,
        waitedMs: Long,
        isReturning: Boolean
    ) = record(request, code.wireName, waitedMs, isReturning)

    private fun record(
        request: QueuedRequest,
        outcome: String,
        waitedMs: Long,
        isReturning: Boolean
    ) = registry.timer(
        "hyssoprack.queue.wait",
        "service",
        request.service.value,
        "rank",
        request.rank.toString(),
        "outcome",
        outcome,
        "returning",
        isReturning.toString()
    ).record(Duration.ofMillis(waitedMs))
}
