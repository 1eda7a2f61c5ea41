package org.hyssoprack.gateway.forwarding.feeds

import org.hyssoprack.gateway.forwarding.FeedObserver
import org.hyssoprack.serving.settings.ClockReading
import org.hyssoprack.store.RowChanges
import org.hyssoprack.store.RowSnapshot

/** Keeps this host's replica of [table] up to date, for the hosts that read it. */
class TableReplicaUpdater(private val table: String, private val feeds: SharedFeeds) :
    FeedObserver {
    private val replica = feeds.replica(table)

    override fun replaced(read: RowSnapshot) {
        replica.storeResponded(read.sinceResponseMs)
        replica.replaceAll(read.rows, read.position)
    }

    override fun changed(read: RowChanges) {
        replica.storeResponded(read.sinceResponseMs)
        replica.applyChanges(read.rows, read.position)
    }

    override fun confirmed(moment: ClockReading) {
        replica.confirm(moment)
        feeds.changed(table)
    }

    override fun storeRecovered(agoMs: Long) = replica.storeRecovered(agoMs)
}
