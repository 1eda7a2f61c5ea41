package org.hyssoprack.integration.deployment

import java.util.concurrent.CopyOnWriteArrayList
import org.hyssoprack.common.Clock
import org.hyssoprack.common.SystemClock

/** What a test did to the deployment, in its order. */
class Journal(private val clock: Clock = SystemClock) {
    private val list = CopyOnWriteArrayList<JournalEntry>()

    /** All entries so far. */
    val entries: List<JournalEntry> get() = list

    /** Notes that [action] was done to [subject] now. */
    fun note(action: JournalAction, subject: String, detail: Long = 0) {
        list.add(JournalEntry(clock.epochMs(), action, subject, detail))
    }
}
