package org.hyssoprack.backend

import kotlinx.serialization.Serializable

/**
 * An engine's report of its load, already stale when it is read.
 *
 * @property running requests being worked on.
 * @property queued requests admitted and not begun.
 * @property ageMs age of the figures when the report was sent, in milliseconds.
 * @property leaving whether the engine says that it is about to leave.
 */
@Serializable
data class LoadReport(
    val running: Int,
    val queued: Int,
    val ageMs: Long,
    val leaving: Boolean = false
)
