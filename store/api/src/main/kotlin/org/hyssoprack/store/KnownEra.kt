package org.hyssoprack.store

/**
 * Newest era of the store that this host has heard of, from the store or from another host. Rows of
 * an older era may lack what was written since the store was restored.
 *
 * @param onRestored called when the era rises; not for the first one.
 */
class KnownEra(private val onRestored: () -> Unit = {}) {
    /** The newest era; null if none was named. */
    var newest: StoreEra? = null
        private set

    /** Records that the store or a host named [era]; null if it named none. */
    fun heard(era: StoreEra?) {
        val known = newest
        if (era == null || known != null && era <= known) return
        newest = era
        if (known != null) onRestored()
    }

    /** Returns whether the store has had a newer era than [era]. */
    fun isOutdated(era: StoreEra?): Boolean {
        val known = newest ?: return false
        return era == null || era < known
    }
}
