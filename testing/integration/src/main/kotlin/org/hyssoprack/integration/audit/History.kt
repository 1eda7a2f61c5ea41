package org.hyssoprack.integration.audit

import org.hyssoprack.integration.caller.CallRecord
import org.hyssoprack.integration.deployment.JournalEntry

/** Calls, backend runs and test actions recorded during a test, as input of the audit. */
data class History(
    val calls: List<CallRecord>,
    val runs: List<BackendRun>,
    val journal: List<JournalEntry>
)
