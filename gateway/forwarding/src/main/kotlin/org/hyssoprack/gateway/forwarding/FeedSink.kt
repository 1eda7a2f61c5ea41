package org.hyssoprack.gateway.forwarding

import org.hyssoprack.serving.settings.ClockReading
import org.hyssoprack.store.FeedRow

/** Receives what a [FeedFollower] reads. */
interface FeedSink {
    /** The whole table; returns whether all of it could be used. */
    fun replace(rows: List<FeedRow>): Boolean

    /** Changed rows; returns whether all of them could be used. */
    fun change(rows: List<FeedRow>): Boolean

    /** What was received is all that there was at [readStarted]. */
    fun confirm(readStarted: ClockReading)

    /** The store answers again after it did not, since [agoMs], in milliseconds. */
    fun returned(agoMs: Long)
}
