package org.hyssoprack.integration.deployment

import java.util.concurrent.CopyOnWriteArrayList
import org.hyssoprack.common.Clock
import org.hyssoprack.common.SystemClock

/** Records the actions of a test on the deployment, in the order of the calls. */
class Journal(private val clock: Clock = SystemClock) {
    private val recorded = CopyOnWriteArrayList<JournalEntry>()

    /** All entries recorded so far. */
    val entries: List<JournalEntry> get() = recorded

    /** Records [action] on [subject] with the current time. */
    fun record(action: JournalAction, subject: String, detail: Long = 0) {
        recorded.add(JournalEntry(clock.epochMs(), action, subject, detail))
    }
}
