package org.hyssoprack.backend

import kotlinx.serialization.Serializable

/**
 * Load reported by a backend server; already outdated when it is read.
 *
 * @property running number of running requests.
 * @property queued number of requests that were admitted and have not started.
 * @property ageMs age of the figures when the report was sent, in milliseconds.
 * @property leaving whether the server announces that it is about to shut down.
 */
@Serializable
data class LoadReport(
    val running: Int,
    val queued: Int,
    val ageMs: Long,
    val leaving: Boolean = false
)
