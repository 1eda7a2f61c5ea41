package org.hyssoprack.serving.limits

/** Decides which part is blocked for a crash: at most one, and none if a blocked part explains it. */
internal class BlockDecisions(private val table: SuspectTable, private val rule: BlockRule) {
    /** Decides on [incident], again if more of its requests came to be known. */
    fun decide(incident: CrashIncident, nowMs: Long) {
        incident.isUndecided = false
        val suspects = incident.keys.mapNotNull { table[it] }
        val own = suspects.firstOrNull { it.isBlocked && it.key == incident.blocked }
        if (own != null && nowMs - incident.seenMs > SETTLING_MS) {
            return table.explain(incident, own)
        }
        val cause = suspects.firstOrNull { it.isBlocked && it !== own }
        if (cause != null) {
            own?.let { table.unblock(it, nowMs) }
            return table.explain(incident, cause)
        }
        own?.let { table.release(it) }
        val chosen = rule.choose(suspects.filter { it.isUnexplained(incident) })
        if (own != null && (chosen == null || chosen === own)) return explainAgain(incident, own)
        own?.let { table.unblock(it, nowMs) }
        if (chosen != null && isTooEarly(incident, chosen, nowMs)) {
            incident.isUndecided = true
            return
        }
        if (chosen != null) block(incident, chosen, nowMs)
    }

    /** A part that many requests share may be the only suspect until all hosts have reported. */
    private fun isTooEarly(incident: CrashIncident, chosen: Suspect, nowMs: Long): Boolean {
        if (nowMs - incident.seenMs >= REPORTING_MS) return false
        return rule.hasBegun(chosen) || rule.isExplainedByOneRequest(chosen, incident.server)
    }

    private fun explainAgain(incident: CrashIncident, own: Suspect) {
        table.explainAll(own)
        table.explain(incident, own)
    }

    private fun block(incident: CrashIncident, suspect: Suspect, nowMs: Long) {
        incident.blocked = suspect.key
        table.block(suspect, blockedMs = nowMs, nowMs = nowMs)
    }

    private fun Suspect.isUnexplained(incident: CrashIncident): Boolean {
        val crash = crashes[incident.server] ?: return false
        return crash.explainedBy == null
    }

    private companion object {
        // The hosts see the end of their connections within a few milliseconds and report at once.
        const val REPORTING_MS = 100L
        const val SETTLING_MS = 1_000L
    }
}
