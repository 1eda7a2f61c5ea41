package org.hyssoprack.serving.limits

import org.hyssoprack.common.HostId

/** Writes and reads the records of suspected parts that hosts exchange. */
internal class SuspectRecords(private val table: SuspectTable, private val begun: BegunParts) {
    fun list(nowMs: Long, isTrialDue: (Suspect) -> Boolean): List<SuspectPart> = table.all
        .sortedWith(
            compareByDescending<Suspect> {
                it.isBlocked
            }.thenByDescending { it.crashes.size }
        )
        .take(MAX_RECORDS)
        .map { record(it, nowMs, isTrialDue(it)) }

    /**
     * Adds [record] of [source] to what is known. Returns false if a first event since its last
     * crash was seen here, in which case it is ignored.
     */
    fun merge(record: SuspectPart, source: HostId?, nowMs: Long): Boolean {
        val lastMs = nowMs - record.lastAgeMs
        val begunMs = begun[record.key]
        if (begunMs != null && begunMs > lastMs) return false
        val suspect = table.getOrAdd(record.key)
        suspect.addSource(source)
        suspect.hasBegunElsewhere = suspect.hasBegunElsewhere || record.hasBegun
        record.crashes.forEach { merge(suspect, it, begunMs, nowMs) }
        val ageMs = record.blockedAgeMs
        if (ageMs != null) {
            table.block(suspect, blockedMs = nowMs - ageMs, nowMs = nowMs)
            suspect.schedule.raiseTo(record.trials, nowMs)
        }
        return true
    }

    private fun merge(suspect: Suspect, crash: SuspectCrash, begunMs: Long?, nowMs: Long) {
        val seenMs = nowMs - crash.ageMs
        if (begunMs != null && begunMs > seenMs) return
        if (!suspect.add(crash.server, seenMs)) return
        val added = suspect.crashes.getValue(crash.server)
        added.explainedBy = crash.explainedBy
        added.isTogether = crash.isTogether
    }

    private fun record(suspect: Suspect, nowMs: Long, isTrialDue: Boolean) = SuspectPart(
        service = suspect.key.service,
        version = suspect.key.version,
        part = suspect.key.part,
        crashes = suspect.crashes.entries.toList().takeLast(MAX_CRASHES).map { (server, crash) ->
            SuspectCrash(server, nowMs - crash.seenMs, crash.explainedBy, crash.isTogether)
        },
        blockedAgeMs = suspect.blockedMs?.let { nowMs - it },
        trials = suspect.schedule.trials,
        isTrialDue = isTrialDue,
        hasBegun = suspect.hasBegunElsewhere || suspect.key in begun
    )

    private companion object {
        const val MAX_RECORDS = 64
        const val MAX_CRASHES = 8
    }
}

/** The key of the part that the record is of. */
internal val SuspectPart.key: PartKey get() = PartKey(service, version, part)

/** Time since the last crash or the block in milliseconds, whichever was later. */
internal val SuspectPart.lastAgeMs: Long
    get() = listOfNotNull(crashes.minOfOrNull { it.ageMs }, blockedAgeMs).minOrNull() ?: 0
