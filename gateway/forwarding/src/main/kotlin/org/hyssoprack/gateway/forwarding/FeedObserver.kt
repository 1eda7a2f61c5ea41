package org.hyssoprack.gateway.forwarding

import org.hyssoprack.serving.settings.ClockReading
import org.hyssoprack.store.RowChanges
import org.hyssoprack.store.RowSnapshot

/** Receives everything that a [FeedFollower] reads. */
interface FeedObserver {
    /** Called when the whole table was read. */
    fun replaced(read: RowSnapshot) = Unit

    /** Called when changes were read; there may be none. */
    fun changed(read: RowChanges) = Unit

    /** Called when the data read so far is known to have been up to date at [moment]. */
    fun confirmed(moment: ClockReading) = Unit

    /** Called when the store has recovered, [agoMs] milliseconds ago. */
    fun storeRecovered(agoMs: Long) = Unit
}
