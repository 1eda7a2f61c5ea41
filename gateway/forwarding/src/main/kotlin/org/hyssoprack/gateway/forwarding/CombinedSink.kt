package org.hyssoprack.gateway.forwarding

import org.hyssoprack.serving.settings.ClockReading
import org.hyssoprack.store.FeedRow

/** Passes the rows of one table to two sinks. */
class CombinedSink(private val first: FeedSink, private val second: FeedSink) : FeedSink {
    override fun replace(rows: List<FeedRow>): Boolean {
        second.replace(rows)
        return first.replace(rows)
    }

    override fun change(rows: List<FeedRow>): Boolean {
        second.change(rows)
        return first.change(rows)
    }

    override fun confirm(readStarted: ClockReading) {
        second.confirm(readStarted)
        first.confirm(readStarted)
    }

    override fun storeRestored() {
        second.storeRestored()
        first.storeRestored()
    }

    override fun storeRecovered(agoMs: Long) {
        second.storeRecovered(agoMs)
        first.storeRecovered(agoMs)
    }
}
