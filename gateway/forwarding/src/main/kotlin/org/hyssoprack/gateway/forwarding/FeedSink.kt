package org.hyssoprack.gateway.forwarding

import org.hyssoprack.serving.settings.ClockReading
import org.hyssoprack.store.FeedRow

/** Applies what a [FeedFollower] reads. */
interface FeedSink {
    /** Replaces all rows. Returns whether all of them could be used. */
    fun replace(rows: List<FeedRow>): Boolean

    /** Applies changed rows. Returns whether all of them could be used. */
    fun change(rows: List<FeedRow>): Boolean

    /** Records that the rows received so far were complete at [readStarted]. */
    fun confirm(readStarted: ClockReading)

    /** Called when the store has recovered from an outage, [agoMs] milliseconds ago. */
    fun storeRecovered(agoMs: Long)
}
