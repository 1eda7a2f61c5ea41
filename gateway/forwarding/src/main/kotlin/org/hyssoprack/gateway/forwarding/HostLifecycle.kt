package org.hyssoprack.gateway.forwarding

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import org.hyssoprack.common.Clock
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.eq

/**
 * Shuts a host down without losing requests. The host is immediately removed from the hosts offered
 * to callers and keeps serving callers that still use its address. It then rejects new requests and
 * waits for those in progress.
 *
 * @param stopWithinMs time from the stop signal until the process is killed, in milliseconds.
 */
class HostLifecycle(
    private val clock: Clock,
    private val log: EventLog,
    private val stopWithinMs: () -> Long,
    private val inProgress: () -> Int
) {
    private var stopStartedMs: Long? = null
    private val stopped = CompletableDeferred<Unit>()

    /** Whether shutdown has begun. */
    val isStopping: Boolean get() = stopStartedMs != null

    /** Whether new requests are rejected. */
    val isRefusing: Boolean
        get() = stopStartedMs?.let { clock.nowMs() - it >= KEEP_SERVING_MS } ?: false

    /**
     * Shuts down; the process may exit when this returns. A further call while the host shuts down
     * has no effect but to wait for the end.
     */
    suspend fun stop(leave: () -> Unit, closeIdle: () -> Unit) {
        if (isStopping) {
            log.event("host-already-stopping", "inProgress" eq inProgress())
            return stopped.await()
        }
        try {
            drain(leave, closeIdle)
        } finally {
            stopped.complete(Unit)
        }
    }

    private suspend fun drain(leave: () -> Unit, closeIdle: () -> Unit) {
        val startMs = clock.nowMs()
        stopStartedMs = startMs
        log.event("host-stopping", "inProgress" eq inProgress())
        leave()
        while (!isComplete(startMs)) delay(CHECK_MS)
        closeIdle()
        log.event("host-stopped", "inProgress" eq inProgress(), "tookMs" eq clock.nowMs() - startMs)
    }

    private fun isComplete(startMs: Long): Boolean {
        val spentMs = clock.nowMs() - startMs
        if (spentMs >= stopWithinMs() - END_MARGIN_MS) return true
        return spentMs >= KEEP_SERVING_MS + REJECT_MS && inProgress() == 0
    }

    private companion object {
        // Callers use an address for two seconds after they looked it up.
        const val KEEP_SERVING_MS = 2_500L

        // Callers that use an address for longer are rejected, and retry at another host.
        const val REJECT_MS = 1_000L
        const val END_MARGIN_MS = 300L
        const val CHECK_MS = 50L
    }
}
