package org.hyssoprack.integration.deployment

/**
 * One thing that a test did.
 *
 * @property atMs wall-clock time in milliseconds since the epoch.
 */
data class JournalEntry(
    val atMs: Long,
    val action: JournalAction,
    val subject: String,
    val detail: Long = 0
)
