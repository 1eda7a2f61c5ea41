package org.hyssoprack.integration.audit

import org.hyssoprack.integration.caller.CallRecord
import org.hyssoprack.integration.deployment.JournalEntry

/** All that is known about a test's run when it is over. */
data class History(
    val calls: List<CallRecord>,
    val runs: List<BackendRun>,
    val journal: List<JournalEntry>
)
