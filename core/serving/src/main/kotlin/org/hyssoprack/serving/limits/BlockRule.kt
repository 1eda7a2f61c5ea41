package org.hyssoprack.serving.limits

/**
 * Chooses the part that is blocked for a crash. A part that never had a first event needs fewer
 * crashes than one that had. Crashes at about the same time have a common cause elsewhere, so they
 * must extend over a time.
 */
internal class BlockRule(val hasBegun: (Suspect) -> Boolean) {
    /** Returns the part to block among [suspects], or null if there is none. */
    fun choose(suspects: List<Suspect>): Suspect? = suspects.filter { isDue(it) }.maxWithOrNull(
        compareBy({ !hasBegun(it) }, { it.evidence.size }, { it.depth })
    )

    private fun isDue(suspect: Suspect): Boolean {
        val evidence = suspect.evidence
        val hasBegun = hasBegun(suspect)
        val minCrashes = if (hasBegun) MIN_CRASHES_BEGUN else MIN_CRASHES
        if (evidence.size < minCrashes) return false
        val extentMs = evidence.maxOf { it.seenMs } - evidence.minOf { it.seenMs }
        return extentMs >= minExtentMs(suspect, hasBegun)
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
        const val MIN_CRASHES_BEGUN = 5
        const val MIN_EXTENT_BEGUN_MS = 2_000L
    }
}
