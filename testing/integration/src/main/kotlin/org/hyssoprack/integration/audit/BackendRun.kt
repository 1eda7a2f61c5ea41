package org.hyssoprack.integration.audit

/**
 * One execution of a request on a backend server, as recorded in the server's log.
 *
 * @property bodyHash SHA-256 of the request body in hexadecimal for a plain service; empty for an
 *   engine.
 * @property beganMs wall-clock time at which the server accepted the request, in milliseconds since
 *   the epoch.
 * @property endedMs wall-clock time at which the run ended; null if the log has no end for it.
 */
data class BackendRun(
    val server: String,
    val requestId: String,
    val bodyHash: String = "",
    val beganMs: Long,
    val endedMs: Long? = null
)
