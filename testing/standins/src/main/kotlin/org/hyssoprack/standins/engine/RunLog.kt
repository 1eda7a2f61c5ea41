package org.hyssoprack.standins.engine

import org.hyssoprack.backend.EngineStatus
import org.hyssoprack.common.Clock
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.LogField
import org.hyssoprack.common.eq

/** Logs request events of an emulated engine; runs and wasted prefill are counted from them. */
internal class RunLog(private val log: EventLog, private val clock: Clock) {
    fun accepted(run: EngineRun, leaving: Boolean) {
        event("engine-accepted", run, "leaving" eq leaving)
    }

    fun began(run: EngineRun) {
        event(
            "engine-began",
            run,
            "prompt_tokens" eq run.promptTokens,
            "cached_tokens" eq run.cachedTokens
        )
    }

    fun firstToken(run: EngineRun) {
        event("engine-first-token", run, "wall_ms" eq clock.nowMs() - run.arrivedAtMs)
    }

    fun suspended(run: EngineRun) = event("engine-suspended", run)

    fun resumed(run: EngineRun) = event("engine-resumed", run)

    fun ended(run: EngineRun, reason: EndReason) {
        event(
            "engine-ended",
            run,
            "prompt_tokens" eq run.promptTokens,
            "cached_tokens" eq run.cachedTokens,
            "prefilled_tokens" eq run.prefilledTokens,
            "completion_tokens" eq run.produced,
            "reason" eq reason.wireName,
            "wall_ms" eq clock.nowMs() - run.arrivedAtMs
        )
    }

    fun ordered(status: EngineStatus) {
        log.event(
            "engine-ordered",
            "epoch_ms" eq clock.epochMs(),
            "fencing" eq status.fencing,
            "model" eq status.model,
            "version" eq status.version
        )
    }

    private fun event(name: String, run: EngineRun, vararg fields: LogField) {
        log.event(name, "epoch_ms" eq clock.epochMs(), "request" eq run.id, *fields)
    }
}
