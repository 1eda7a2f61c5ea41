package org.hyssoprack.gateway.forwarding

import org.hyssoprack.serving.settings.ClockReading
import org.hyssoprack.store.FeedRow

/** Applies what a [FeedFollower] reads. */
interface FeedSink {
    /**
     * Replaces all rows. Returns false if they must not be confirmed, since a row
     * that is needed cannot be decoded.
     */
    fun replace(rows: List<FeedRow>): Boolean

    /**
     * Applies changed rows. Returns false if they must not be confirmed, since a row
     * that is needed cannot be decoded.
     */
    fun change(rows: List<FeedRow>): Boolean

    /** Records that the rows received so far were up to date at [readStarted]. */
    fun confirm(readStarted: ClockReading)

    /**
     * Called before the rows of a store that was restored from an older copy replace those known:
     * they may be older.
     */
    fun storeRestored()

    /** Called when the store has recovered from an outage, [agoMs] milliseconds ago. */
    fun storeRecovered(agoMs: Long)
}
