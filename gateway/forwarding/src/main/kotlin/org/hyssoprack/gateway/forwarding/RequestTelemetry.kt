package org.hyssoprack.gateway.forwarding

import io.micrometer.core.instrument.MeterRegistry
import java.time.Duration
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.Clock
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.Failure
import org.hyssoprack.common.LogField
import org.hyssoprack.common.eq
import org.hyssoprack.gateway.RequestMetadata
import org.hyssoprack.serving.settings.ActiveSettings

/** Records how requests end, in the log and in metrics. */
class RequestTelemetry(
    private val log: EventLog,
    private val registry: MeterRegistry,
    private val settings: ActiveSettings,
    private val clock: Clock
) {
    internal fun recordRejection(metadata: RequestMetadata, failure: Failure) {
        count(route = "none", code = failure.code.wireName)
        log.event(
            "request-refused",
            "request" eq metadata.id,
            "code" eq failure.code.number,
            "detail" eq failure.detail,
            "settings" eq settings.current?.version,
            "settingsAgeMs" eq settings.ageMs()
        )
    }

    /**
     * Records an attempt on [server] that did not end with a response for the caller, or with a
     * failure that is held back while the request is retried.
     */
    internal fun recordAttempt(
        call: AdmittedRequest,
        server: BackendServerId,
        attempt: ServerAttempt,
        result: AttemptResult
    ) {
        val (end, reason) = when (result) {
            is AttemptResult.Delivered -> return
            is AttemptResult.Answered -> "failed" to "the server answered with a failure"
            is AttemptResult.NotRun -> "not-run" to result.reason
            is AttemptResult.Broken -> "broken" to result.reason
            is AttemptResult.Stalled -> "stalled" to result.brokenReason
        }
        log.event(
            "attempt-ended",
            "request" eq call.metadata.id,
            "server" eq server,
            "end" eq end,
            "reason" eq reason,
            "status" eq (result as? AttemptResult.Answered)?.status,
            "elapsedMs" eq attempt.elapsedMs,
            "silentMs" eq attempt.silentMs
        )
    }

    /** Records that a request that was sent to a server before may not go to another one now. */
    internal fun recordFailoverRefused(call: AdmittedRequest, failure: Failure) {
        log.event(
            "failover-refused",
            "request" eq call.metadata.id,
            "code" eq failure.code.number,
            "detail" eq failure.detail,
            "totalMs" eq clock.nowMs() - call.arrivedMs,
            "settings" eq settings.current?.version
        )
    }

    internal fun recordEnd(call: AdmittedRequest, progress: RequestProgress, end: RequestResult) {
        val nowMs = clock.nowMs()
        count(route = call.route.name.value, code = codeOf(end))
        progress.firstByteMs?.let {
            recordTime("hyssoprack.first.event", call, it - call.arrivedMs)
        }
        progress.grantedMs?.let { recordTime("hyssoprack.queued", call, it - call.arrivedMs) }
        countSkipped(progress.sends)
        val fields = endFields(call, progress, end, nowMs)
        if (progress.sends.isPlain && isSuccess(end)) return log.routine("request-ended", *fields)
        if (!progress.sends.isPlain) recordSends(call, progress.sends, end)
        log.event("request-ended", *fields)
    }

    /** Records the sends of a request, so that its response can be traced to one of them. */
    private fun recordSends(call: AdmittedRequest, sends: SendTrace, end: RequestResult) {
        log.event(
            "request-sends",
            "request" eq call.metadata.id,
            "sent" eq sends.count,
            "skipped" eq sends.skippedCount,
            "sends" eq sends.describe(end),
            "unlisted" eq sends.unlisted
        )
    }

    private fun countSkipped(sends: SendTrace) = SkipReason.entries.forEach {
        val skipped = sends.skippedCount(it)
        if (skipped == 0) return@forEach
        registry.counter("hyssoprack.responses.skipped", "reason", it.wireName)
            .increment(skipped.toDouble())
    }

    private fun endFields(
        call: AdmittedRequest,
        progress: RequestProgress,
        end: RequestResult,
        nowMs: Long
    ): Array<LogField> = arrayOf(
        "request" eq call.metadata.id,
        "route" eq call.route.name,
        "account" eq call.account?.name,
        "code" eq codeOf(end),
        "detail" eq detailOf(end),
        "servers" eq progress.triedServers.joinToString(","),
        "limitPerS" eq progress.limitPerS,
        "arrivals" eq progress.arrivals,
        "queuedMs" eq progress.grantedMs?.minus(call.arrivedMs),
        "firstMs" eq progress.firstByteMs?.minus(call.arrivedMs),
        "totalMs" eq nowMs - call.arrivedMs,
        "settings" eq call.version,
        "settingsAgeMs" eq settings.ageMs()
    )

    private fun isSuccess(end: RequestResult): Boolean = when (end) {
        is RequestResult.Delivered -> true
        is RequestResult.Answered -> end.answer.status in SUCCESSES
        is RequestResult.Failed -> false
    }

    private fun codeOf(end: RequestResult): String = when (end) {
        is RequestResult.Delivered -> "ok"
        is RequestResult.Answered -> "server-${end.answer.status}"
        is RequestResult.Failed -> end.failure.code.wireName
    }

    private fun detailOf(end: RequestResult): String? =
        (end as? RequestResult.Failed)?.failure?.detail

    private fun count(route: String, code: String) {
        registry.counter("hyssoprack.requests", "route", route, "code", code).increment()
    }

    private fun recordTime(name: String, call: AdmittedRequest, ms: Long) {
        registry.timer(name, "route", call.route.name.value).record(Duration.ofMillis(ms))
    }

    private companion object {
        val SUCCESSES = 200..299
    }
}
