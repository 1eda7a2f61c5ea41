package org.hyssoprack.gateway.forwarding

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.PromptPartId
import org.hyssoprack.gateway.forwarding.slots.QuotaCharge

/**
 * Progress of one request over all its attempts.
 *
 * @property charge the charge to its account's quota; null if it has no account.
 * @param ownPartOf computes the request's own part.
 */
internal class RequestProgress(val charge: QuotaCharge? = null, ownPartOf: () -> PromptPartId) {
    /** The request's own part, computed when it is first asked for. */
    val ownPart: PromptPartId by lazy(LazyThreadSafetyMode.NONE, ownPartOf)

    /** Servers that were tried, in order. */
    val triedServers = LinkedHashSet<BackendServerId>()

    /** Rate limit of the last server that was granted, in requests per second; null for none. */
    var limitPerS: Double? = null

    /** Number of attempts, including repeated ones on the same server. */
    var attempts = 0

    val sends = SendTrace()

    /** Number of times the request was sent to a server. */
    val arrivals: Int get() = sends.count

    /** Number of sends after which the request may have run. */
    var runs = 0

    /** Last complete response of a server, which is held back while the request is retried. */
    var heldAnswer: AttemptResult.Answered? = null

    /** Monotonic time of the first grant of a slot; null before it. */
    var grantedMs: Long? = null

    /** Monotonic time of the first byte of the response body; null before it. */
    var firstByteMs: Long? = null

    /** Whether a server has sent the head of a stream; the caller has it from the first event on. */
    var isStarted = false

    /** Monotonic time at which the caller was last sent an event; null before the first. */
    var lastEventMs: Long? = null
        private set

    /** Records that events of the current server are sent to the caller at [ms]. */
    fun recordEvents(ms: Long) {
        lastEventMs = ms
        sends.recordEvents()
    }
}
