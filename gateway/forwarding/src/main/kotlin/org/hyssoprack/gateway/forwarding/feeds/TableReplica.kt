package org.hyssoprack.gateway.forwarding.feeds

import org.hyssoprack.common.Clock
import org.hyssoprack.serving.settings.ClockReading
import org.hyssoprack.store.FeedRow

/**
 * A host's replica of a table of the store with its latest changes, from which it replies to other
 * hosts. A reply states how long ago the store had nothing newer, so that its recipient can tell
 * how fresh it is whatever happens in transit.
 */
internal class TableReplica(private val clock: Clock) {
    private val rows = LinkedHashMap<String, String?>()
    private val changes = ArrayDeque<Change>()
    private var revision: Long? = null
    private var oldestRevision = 0L
    private var confirmed: ClockReading? = null
    private var storeRecoveredMs: Long? = null

    private class Change(val revision: Long, val ms: Long, val rows: List<FeedRow>)

    /** Revision of this replica; null before the table was read. */
    val currentRevision: Long? get() = revision

    /** Replaces all rows with [all], the whole table at [revision]. */
    fun replaceAll(all: List<FeedRow>, revision: Long) {
        rows.clear()
        all.forEach { rows[it.key] = it.value }
        changes.clear()
        oldestRevision = revision
        this.revision = revision
    }

    /** Applies [changed] rows up to [revision]. */
    fun applyChanges(changed: List<FeedRow>, revision: Long) {
        changed.forEach { if (it.value == null) rows.remove(it.key) else rows[it.key] = it.value }
        if (changed.isNotEmpty()) changes += Change(revision, clock.nowMs(), changed)
        this.revision = revision
        trimChanges()
    }

    /** Records that the store had nothing newer at [moment]. */
    fun confirm(moment: ClockReading) {
        confirmed = moment
    }

    /** Records that the store recovered [agoMs] milliseconds ago. */
    fun storeRecovered(agoMs: Long) {
        storeRecoveredMs = clock.nowMs() - agoMs
    }

    /**
     * Returns whether there are changes since [since], or the changes since that revision are not
     * retained.
     */
    fun hasNewer(since: Long?): Boolean =
        since == null || since < oldestRevision || changes.any { it.revision > since }

    /** Returns the current reply to [request]. */
    fun answer(request: FeedMessage.Request): FeedMessage {
        val current = revision
        val age = confirmed?.ageMs(clock)
        val since = request.revision
        if (current == null || age == null || (since != null && since < oldestRevision)) {
            return FeedMessage.Unavailable(request.number)
        }
        val reply = if (since == null) {
            rows.map { (key, value) -> SharedRow(key, value) }
        } else {
            changes.filter { it.revision > since }
                .flatMap { change -> change.rows.map { SharedRow(it.key, it.value) } }
        }
        return FeedMessage.Rows(
            number = request.number,
            revision = maxOf(current, since ?: current),
            ageMs = age,
            rows = reply,
            sinceStoreRecoveryMs = storeRecoveredMs?.let { clock.nowMs() - it }
        )
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
