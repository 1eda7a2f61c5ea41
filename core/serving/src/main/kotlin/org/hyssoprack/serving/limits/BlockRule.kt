package org.hyssoprack.serving.limits

import org.hyssoprack.serving.fleet.ServerInstance

/**
 * Chooses the part that is blocked for a crash. A part that never had a first event needs fewer
 * crashes than one that had. Crashes at about the same time have a common cause elsewhere, so they
 * must extend over a time.
 *
 * A part that several requests share is blocked for crashes of different requests only. If one and
 * the same request was involved in nearly all of them, that request is the likelier cause.
 *
 * @param crashesOfOneRequest returns in how many of the crashes that speak against a part one and
 *   the same request was involved, for the request with most of them. It is taken to be involved in
 *   the crash of the given server, for which its report may be missing.
 */
internal class BlockRule(
    val hasBegun: (Suspect) -> Boolean,
    private val crashesOfOneRequest: (Suspect, ServerInstance?) -> Int
) {
    /** Returns the part to block among [suspects], or null if there is none. */
    fun choose(suspects: List<Suspect>): Suspect? = suspects.filter { isDue(it) }.maxWithOrNull(
        compareBy({ !hasBegun(it) }, { it.evidence.size }, { it.depth })
    )

    private fun isDue(suspect: Suspect): Boolean {
        val evidence = suspect.evidence
        val hasBegun = hasBegun(suspect)
        val minCrashes = if (hasBegun) MIN_CRASHES_BEGUN else MIN_CRASHES
        if (evidence.size < minCrashes || isExplainedByOneRequest(suspect)) return false
        val extentMs = evidence.maxOf { it.seenMs } - evidence.minOf { it.seenMs }
        return extentMs >= minExtentMs(suspect, hasBegun)
    }

    /**
     * Returns whether one and the same request was involved in nearly all crashes with the part.
     *
     * @param reporting server for which the report of that request may be missing.
     */
    fun isExplainedByOneRequest(suspect: Suspect, reporting: ServerInstance? = null): Boolean {
        if (suspect.key.part.isOwnPart) return false
        val minOthers = if (hasBegun(suspect)) MIN_OTHERS_BEGUN else MIN_OTHERS
        return suspect.evidence.size - crashesOfOneRequest(suspect, reporting) < minOthers
    }

    private fun minExtentMs(suspect: Suspect, hasBegun: Boolean): Long = when {
        hasBegun -> MIN_EXTENT_BEGUN_MS
        suspect.key.part.isOwnPart -> MIN_EXTENT_OWN_MS
        suspect.evidence.size >= MANY_CRASHES -> MIN_EXTENT_MANY_MS
        else -> MIN_EXTENT_MS
    }

    internal companion object {
        const val MIN_CRASHES = 3
        const val MIN_EXTENT_MS = 500L

        // A part that many requests have can end a whole service in less than MIN_EXTENT_MS.
        const val MANY_CRASHES = 5
        const val MIN_EXTENT_MANY_MS = 100L

        // Few requests are at three servers that crash for another reason.
        const val MIN_EXTENT_OWN_MS = 100L

        // A part of many requests is at servers that crash for another reason, too.
        const val MIN_OTHERS = 1
        const val MIN_OTHERS_BEGUN = 2
        const val MIN_CRASHES_BEGUN = 5
        const val MIN_EXTENT_BEGUN_MS = 2_000L
    }
}
