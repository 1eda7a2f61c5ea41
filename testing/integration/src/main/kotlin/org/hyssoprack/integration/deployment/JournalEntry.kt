package org.hyssoprack.integration.deployment

/**
 * One action of a test on the deployment.
 *
 * @property atMs wall-clock time in milliseconds since the epoch.
 */
data class JournalEntry(
    val atMs: Long,
    val action: JournalAction,
    val subject: String,
    val detail: Long = 0
)
