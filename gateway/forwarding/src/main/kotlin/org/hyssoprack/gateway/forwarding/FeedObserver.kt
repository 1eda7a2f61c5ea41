package org.hyssoprack.gateway.forwarding

import org.hyssoprack.serving.settings.ClockReading
import org.hyssoprack.store.RowChanges
import org.hyssoprack.store.RowSnapshot

/** Sees all that a [FeedFollower] reads. */
interface FeedObserver {
    /** The whole table was read. */
    fun replaced(read: RowSnapshot) = Unit

    /** Changes were read, or that there were none. */
    fun changed(read: RowChanges) = Unit

    /** What was read is all that there was at [moment]. */
    fun confirmed(moment: ClockReading) = Unit

    /** The store came back [agoMs] ago, in milliseconds. */
    fun storeRecovered(agoMs: Long) = Unit
}
