package org.hyssoprack.gateway.forwarding.feeds

import org.hyssoprack.common.Clock
import org.hyssoprack.serving.settings.ClockReading
import org.hyssoprack.store.FeedRow
import org.hyssoprack.store.StorePosition

/**
 * A host's replica of a table of the store with its latest changes, from which it replies to other
 * hosts. A reply states how long ago the store had nothing newer, so that its recipient can tell
 * how fresh it is whatever happens in transit.
 */
internal class TableReplica(private val clock: Clock) {
    private val rows = LinkedHashMap<String, String?>()
    private val changes = ArrayDeque<Change>()
    private var oldestRevision = 0L
    private var confirmed: ClockReading? = null
    private var storeRecoveredMs: Long? = null
    private var storeRespondedMs: Long? = null

    private class Change(val revision: Long, val ms: Long, val rows: List<FeedRow>)

    /** Position of this replica; null before the table was read. */
    var position: StorePosition? = null
        private set

    /** Replaces all rows with [all], the whole table at [position]. */
    fun replaceAll(all: List<FeedRow>, position: StorePosition) {
        rows.clear()
        all.forEach { rows[it.key] = it.value }
        changes.clear()
        oldestRevision = position.revision
        this.position = position
    }

    /** Applies [changed] rows up to [position], which is of the same era. */
    fun applyChanges(changed: List<FeedRow>, position: StorePosition) {
        changed.forEach { if (it.value == null) rows.remove(it.key) else rows[it.key] = it.value }
        if (changed.isNotEmpty()) changes += Change(position.revision, clock.nowMs(), changed)
        this.position = position
        trimChanges()
    }

    /** Records that the store had nothing newer at [moment]. */
    fun confirm(moment: ClockReading) {
        confirmed = moment
    }

    /** Records that the store responded [agoMs] milliseconds ago. */
    fun storeResponded(agoMs: Long) {
        storeRespondedMs = clock.nowMs() - agoMs
    }

    /** Records that the store recovered [agoMs] milliseconds ago. */
    fun storeRecovered(agoMs: Long) {
        storeRecoveredMs = clock.nowMs() - agoMs
    }

    /**
     * Returns whether there are changes since [since], or the changes since that position are not
     * retained.
     */
    fun hasNewer(since: StorePosition?): Boolean =
        since == null || !covers(since) || changes.any { it.revision > since.revision }

    /** Returns the current reply to [request]. */
    fun answer(request: FeedMessage.Request): FeedMessage {
        val current = position
        val age = confirmed?.ageMs(clock)
        val since = request.position
        if (current == null || age == null || (since != null && !covers(since))) {
            return FeedMessage.Unavailable(request.number, current?.era)
        }
        val reply = if (since == null) {
            rows.map { (key, value) -> SharedRow(key, value) }
        } else {
            changes.filter { it.revision > since.revision }
                .flatMap { change -> change.rows.map { SharedRow(it.key, it.value) } }
        }
        return FeedMessage.Rows(
            number = request.number,
            revision = maxOf(current.revision, since?.revision ?: current.revision),
            ageMs = age,
            rows = reply,
            sinceStoreRecoveryMs = storeRecoveredMs?.let { clock.nowMs() - it },
            era = current.era,
            sinceResponseMs = storeRespondedMs?.let { clock.nowMs() - it }
        )
    }

    private fun covers(since: StorePosition): Boolean {
        val current = position ?: return false
        if (since.revision < oldestRevision) return false
        if (since.isComparableTo(current)) return true
        // Hosts of older builds name no era. A revision that is not known here is of an older one.
        return since.era == null && since.revision <= current.revision
    }

    private fun trimChanges() {
        while (changes.size > MAX_CHANGES) {
            val removed = changes.removeFirst()
            oldestRevision = removed.revision
        }
    }

    private companion object {
        // Bounds the memory used; hosts that are further behind read the whole table.
        const val MAX_CHANGES = 256
    }
}
