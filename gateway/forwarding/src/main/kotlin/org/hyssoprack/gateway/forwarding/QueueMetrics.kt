package org.hyssoprack.gateway.forwarding

import io.micrometer.core.instrument.MeterRegistry
import java.time.Duration
import org.hyssoprack.common.ResultCode
import org.hyssoprack.serving.queue.QueuedRequest

/** Records the outcomes and waiting times of requests for slots, by service and rank. */
class QueueMetrics(private val registry: MeterRegistry) : QueueObserver {
    override fun granted(request: QueuedRequest, waitedMs: Long) =
        record(request, "granted", waitedMs)

    override fun refused(request: QueuedRequest, code: ResultCode, waitedMs: Long) =
        record(request, code.wireName, waitedMs)

    private fun record(request: QueuedRequest, outcome: String, waitedMs: Long) = registry.timer(
        "hyssoprack.queue.wait",
        "service",
        request.service.value,
        "rank",
        request.rank.toString(),
        "outcome",
        outcome
    ).record(Duration.ofMillis(waitedMs))
}
