package org.hyssoprack.daemon

import io.micrometer.core.instrument.MeterRegistry
import java.time.Duration
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode
import org.hyssoprack.host.AdmittedRequest
import org.hyssoprack.host.OutcomeRecorder
import org.hyssoprack.host.RequestEnd

/** Records request outcomes as Micrometer metrics. */
internal class MetricsRecorder(private val registry: MeterRegistry) : OutcomeRecorder {
    override fun ended(request: AdmittedRequest, end: RequestEnd) {
        val tier = request.route.tier.name.value
        val code = end.failure?.code ?: ResultCode.OK
        registry.counter(
            "hyssoprack.requests",
            "tier", tier,
            "account", request.account.value,
            "code", code.wireName,
            "in_time", end.inTime.toString()
        ).increment()
        val report = end.report ?: return
        report.firstTokenMs?.let {
            registry.timer("hyssoprack.first.token", "tier", tier).record(Duration.ofMillis(it))
        }
        report.tokenMs?.let {
            registry.summary("hyssoprack.token.ms", "tier", tier).record(it)
        }
        val prefill = (report.promptTokens - report.cachedTokens).coerceAtLeast(0)
        val use = if (end.failure == null) "useful" else "wasted"
        registry.counter("hyssoprack.prefill.tokens", "tier", tier, "use", use)
            .increment(prefill.toDouble())
    }

    override fun refused(failure: Failure, account: ClientAccount?) {
        registry.counter("hyssoprack.refused", "code", failure.code.wireName).increment()
    }
}
