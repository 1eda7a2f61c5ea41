package org.hyssoprack.gateway.forwarding.feeds

import org.hyssoprack.common.Clock
import org.hyssoprack.serving.settings.ClockReading
import org.hyssoprack.store.FeedRow

/**
 * One host's copy of a table of the store with its latest changes, from which it answers other hosts.
 * An answer says how long ago the store had nothing newer, so that its reader can tell how fresh it
 * is whatever happens on the way.
 */
internal class TableReplica(private val clock: Clock) {
    private val rows = LinkedHashMap<String, String?>()
    private val changes = ArrayDeque<Change>()
    private var revision: Long? = null
    private var oldestRevision = 0L
    private var confirmed: ClockReading? = null
    private var backMs: Long? = null

    private class Change(val revision: Long, val ms: Long, val rows: List<FeedRow>)

    /** Where this copy stands; null before it was read. */
    val currentRevision: Long? get() = revision

    /** Takes [all] as the whole table at [revision]. */
    fun replaced(all: List<FeedRow>, revision: Long) {
        rows.clear()
        all.forEach { rows[it.key] = it.value }
        changes.clear()
        oldestRevision = revision
        this.revision = revision
    }

    /** Takes in [changed] rows up to [revision]. */
    fun changed(changed: List<FeedRow>, revision: Long) {
        changed.forEach { if (it.value == null) rows.remove(it.key) else rows[it.key] = it.value }
        if (changed.isNotEmpty()) changes += Change(revision, clock.nowMs(), changed)
        this.revision = revision
        forget()
    }

    /** The store had nothing newer at [moment]. */
    fun confirmed(moment: ClockReading) {
        confirmed = moment
    }

    /** The store came back [agoMs] ago. */
    fun storeRecovered(agoMs: Long) {
        backMs = clock.nowMs() - agoMs
    }

    /** Whether there is something newer than [since], or nothing is known of that revision. */
    fun hasNewer(since: Long?): Boolean =
        since == null || since < oldestRevision || changes.any { it.revision > since }

    /** The answer to [ask] as of now. */
    fun answer(ask: FeedMessage.Request): FeedMessage {
        val known = revision
        val age = confirmed?.ageMs(clock)
        val since = ask.revision
        if (known == null || age == null || (since != null && since < oldestRevision)) {
            return FeedMessage.Unavailable(ask.number)
        }
        val told = if (since == null) {
            rows.map { (key, value) -> SharedRow(key, value) }
        } else {
            changes.filter { it.revision > since }
                .flatMap { change -> change.rows.map { SharedRow(it.key, it.value) } }
        }
        return FeedMessage.Rows(
            number = ask.number,
            revision = maxOf(known, since ?: known),
            ageMs = age,
            rows = told,
            sinceStoreRecoveryMs = backMs?.let { clock.nowMs() - it }
        )
    }

    private fun forget() {
        while (changes.size > MOST_CHANGES) {
            val gone = changes.removeFirst()
            oldestRevision = gone.revision
        }
    }

    private companion object {
        // Hosts that are further behind read the whole table; bounds the memory used.
        const val MOST_CHANGES = 256
    }
}
