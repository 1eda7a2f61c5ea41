package org.hyssoprack.settings

/**
 * What speaks for the bundle in force still being the accepted one. All times are starts of
 * questions on this host's monotonic clock, so that an answer that arrives after a pause of the
 * process is as old as its question.
 *
 * @property provedAtMs start of the latest read of the table service that gave no newer version.
 * @property witnessedAtMs start of the latest round in which most peers knew of no newer version.
 * @property knowsNewer whether a newer version is known by now; witnesses are void then.
 */
internal data class BundleFreshness(
    val provedAtMs: Long? = null,
    val witnessedAtMs: Long? = null,
    val knowsNewer: Boolean = false
) {
    fun holds(nowMs: Long): Boolean = isProved(nowMs) || isWitnessed(nowMs)

    fun isProved(nowMs: Long): Boolean = isFresh(provedAtMs, nowMs, PROOF_TERM_MS)

    private fun isWitnessed(nowMs: Long): Boolean =
        !knowsNewer && isFresh(witnessedAtMs, nowMs, WITNESS_TERM_MS)

    fun proved(atMs: Long): BundleFreshness = copy(provedAtMs = maxOf(atMs, provedAtMs ?: atMs))

    fun witnessed(atMs: Long): BundleFreshness = copy(
        witnessedAtMs = maxOf(
            atMs,
            witnessedAtMs ?: atMs
        )
    )

    companion object {
        /** A bundle must be in force everywhere 4 s after it was accepted. */
        const val PROOF_TERM_MS = 3_500L
        const val WITNESS_TERM_MS = 2_000L

        fun isFresh(atMs: Long?, nowMs: Long, termMs: Long): Boolean =
            atMs != null && nowMs - atMs <= termMs
    }
}
