package org.hyssoprack.integration.audit

/**
 * One time that a backend server began to work on a request, from its own log.
 *
 * @property bodyHash SHA-256 of the body of a plain service's call; empty for an engine.
 * @property beganMs wall-clock time at which the server took the request in.
 * @property endedMs time at which it ended; null if the log does not say.
 */
data class BackendRun(
    val server: String,
    val requestId: String,
    val bodyHash: String = "",
    val beganMs: Long,
    val endedMs: Long? = null
)
