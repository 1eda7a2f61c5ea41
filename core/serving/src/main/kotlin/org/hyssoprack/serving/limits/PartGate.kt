package org.hyssoprack.serving.limits

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.hyssoprack.common.Failure
import org.hyssoprack.common.HostId
import org.hyssoprack.common.PromptPartId
import org.hyssoprack.common.ResultCode
import org.hyssoprack.common.ServiceId

/** Refuses requests with a blocked part, and exchanges what is known of parts between hosts. */
class PartGate(val registry: CrashingPartRegistry) {
    /**
     * Returns why a request of [service] with [parts] must not wait for a slot, or null if it may.
     * The slot owner decides where a trial is due.
     */
    fun refusalBeforeWait(service: ServiceId, parts: List<PromptPartId>): Failure? =
        when (val verdict = verdict(service, parts)) {
            is PartVerdict.Blocked -> blocked(verdict.part)
            is PartVerdict.TrialDue, PartVerdict.Allowed -> null
        }

    /**
     * Returns why a granted request must not be sent, or null if it may.
     *
     * @param isTrial whether the slot owner let it through as a trial.
     */
    fun refusalBeforeSend(
        service: ServiceId,
        parts: List<PromptPartId>,
        isTrial: Boolean
    ): Failure? {
        if (isTrial) return null
        return when (val verdict = verdict(service, parts)) {
            is PartVerdict.Blocked -> blocked(verdict.part)
            is PartVerdict.TrialDue -> blocked(verdict.part)
            PartVerdict.Allowed -> null
        }
    }

    /**
     * Admits a request to the grant of a slot, at the slot owner. Returns whether it is a trial of a
     * blocked part.
     */
    fun admitToSlot(service: ServiceId, parts: List<PromptPartId>): Either<Failure, Boolean> =
        when (val verdict = verdict(service, parts)) {
            is PartVerdict.Blocked -> blocked(verdict.part).left()

            is PartVerdict.TrialDue ->
                if (registry.tryTrial(
                        service,
                        parts
                    )
                ) {
                    true.right()
                } else {
                    blocked(verdict.part).left()
                }

            PartVerdict.Allowed -> false.right()
        }

    /** Returns what the slot owner may not know, or null if there is nothing. */
    fun takeReport(isFirst: Boolean): PartReport? = PartReport(
        crashes = registry.takeUnreported(),
        begun = registry.takeUnreportedBegun(),
        asked = registry.takeAsked(),
        suspects = if (isFirst) registry.records() else emptyList()
    ).takeUnless { it.isEmpty }

    /** Returns what the other hosts have to know, or null if there is nothing. */
    fun takePeerReport(): PartReport? = registry.takeForPeers().takeUnless { it.isEmpty }

    /** Applies the [report] of another host. */
    fun accept(report: PartReport, source: HostId) {
        if (report.suspects.isNotEmpty()) registry.adopt(report.suspects, source)
        report.begun.forEach { registry.recordBegun(it) }
        report.crashes.forEach { registry.recordCrash(it, source) }
        report.asked.forEach { registry.recordAsked(it) }
    }

    private fun verdict(service: ServiceId, parts: List<PromptPartId>) =
        if (parts.isEmpty()) PartVerdict.Allowed else registry.verdict(service, parts)

    // Without a time to retry after: no retry can succeed while the part is blocked.
    private fun blocked(part: PromptPartId): Failure = if (part.isOwnPart) {
        Failure(
            code = ResultCode.REQUEST_BLOCKED,
            detail = "The same request, $part, crashed backend servers before."
        )
    } else {
        Failure(
            code = ResultCode.PROMPT_PART_BLOCKED,
            detail = "Part $part of the prompt crashes backend servers."
        )
    }
}
