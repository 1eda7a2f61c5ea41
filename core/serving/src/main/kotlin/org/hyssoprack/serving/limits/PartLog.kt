package org.hyssoprack.serving.limits

import org.hyssoprack.common.EventLog
import org.hyssoprack.common.eq

/** Logs and counts what becomes of suspected parts. */
internal class PartLog(private val log: EventLog) {
    /** Number of changes that the hosts are told of. */
    var changes = 0
        private set

    /** Counts a change that is not logged. */
    fun count() {
        changes++
    }

    /** Logs a [change] of [suspect]. */
    fun change(change: String, suspect: Suspect, nowMs: Long) {
        changes++
        val firstMs = suspect.crashes.values.minOfOrNull { it.seenMs }
        log.event(
            if (suspect.key.part.isOwnPart) "crashing-request" else "prompt-part",
            "change" eq change,
            "part" eq suspect.key.part,
            "service" eq suspect.key.service,
            "version" eq suspect.key.version,
            "crashes" eq suspect.crashes.size,
            "hosts" eq suspect.sources.size,
            "trials" eq suspect.schedule.trials,
            "ageMs" eq (suspect.blockedMs ?: firstMs)?.let { nowMs - it }
        )
    }
}
