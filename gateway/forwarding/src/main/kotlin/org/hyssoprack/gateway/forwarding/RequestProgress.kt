package org.hyssoprack.gateway.forwarding

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.gateway.forwarding.slots.QuotaCharge

/**
 * What has happened to one request so far.
 *
 * @property charge what it takes of its account's quota; null if it has none.
 */
internal class RequestProgress(val charge: QuotaCharge? = null) {
    /** Servers that were tried, in their order. */
    val tried = LinkedHashSet<BackendServerId>()

    /** Servers that were chosen, one that was chosen twice counted twice. */
    var tries = 0

    /** Sends that reached a server. */
    var arrivals = 0

    /** Sends after which the request may have run. */
    var runs = 0

    /** The last whole answer of a server, which was not passed on in the hope of a better one. */
    var heldAnswer: AttemptResult.Answered? = null

    /** Monotonic time of the first grant of a slot; null while it waits. */
    var grantedMs: Long? = null

    /** Monotonic time of the first byte of the answer's body. */
    var firstByteMs: Long? = null
}
