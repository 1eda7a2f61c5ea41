package org.hyssoprack.gateway.forwarding.feeds

import org.hyssoprack.gateway.forwarding.FeedObserver
import org.hyssoprack.serving.settings.ClockReading
import org.hyssoprack.store.RowChanges
import org.hyssoprack.store.RowSnapshot

/** Keeps this host's copy of [table] up to date, for the hosts that ask for it. */
class TableReplicaUpdater(private val table: String, private val feeds: SharedFeeds) :
    FeedObserver {
    private val copy = feeds.copy(table)

    override fun replaced(read: RowSnapshot) {
        copy.replaced(read.rows, read.revision)
    }

    override fun changed(read: RowChanges) = copy.changed(read.rows, read.revision)

    override fun confirmed(moment: ClockReading) {
        copy.confirmed(moment)
        feeds.changed(table)
    }

    override fun storeRecovered(agoMs: Long) = copy.storeRecovered(agoMs)
}
