package org.hyssoprack.gateway.forwarding.feeds

import org.hyssoprack.store.StoreEra

/**
 * Newest era of the store that this host knows of, from the store or from another host. Rows of an
 * older era may lack what was written since the store was restored.
 */
internal class KnownEra {
    private var newest: StoreEra? = null

    /** Records that the store itself named [era]; null if it named none. */
    fun readFromStore(era: StoreEra?) {
        newest = era
    }

    /** Records that another host named [era]. */
    fun heard(era: StoreEra?) {
        val known = newest
        if (era != null && (known == null || era > known)) newest = era
    }

    /** Returns whether the store has had a newer era than [era]. */
    fun isOutdated(era: StoreEra?): Boolean {
        val known = newest ?: return false
        return era == null || era < known
    }
}
