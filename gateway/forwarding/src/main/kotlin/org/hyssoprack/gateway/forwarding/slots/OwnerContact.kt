package org.hyssoprack.gateway.forwarding.slots

import org.hyssoprack.common.Clock
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.HostId
import org.hyssoprack.common.eq

/** The slot owner that this host uses, and whether it replies. */
internal class OwnerContact(private val clock: Clock, private val log: EventLog) {
    /** The owner in use; null if none is known. */
    var owner: HostId? = null
        private set

    private var unresponsiveUntilMs: Long? = null

    /** Whether the owner did not reply to a request in time and has not sent anything since. */
    val isUnresponsive: Boolean get() = unresponsiveUntilMs != null

    /** Uses [now] from now on. */
    fun change(now: HostId?) {
        log.event("slot-owner", "owner" eq now, "before" eq owner)
        owner = now
        unresponsiveUntilMs = null
    }

    /** Records a message of [host]. */
    fun heard(host: HostId) {
        if (host != owner) return
        if (unresponsiveUntilMs != null) log.event("slot-owner-answers", "owner" eq owner)
        unresponsiveUntilMs = null
    }

    /** Records that [host] did not reply to a request in time. */
    fun silent(host: HostId) {
        if (host != owner) return
        if (unresponsiveUntilMs == null) log.event("slot-owner-silent", "owner" eq host)
        unresponsiveUntilMs = clock.nowMs() + UNRESPONSIVE_PAUSE_MS
    }

    /**
     * Returns the owner to use. An owner that does not reply gets only one request per
     * [UNRESPONSIVE_PAUSE_MS].
     */
    fun responsiveOwner(): HostId? {
        val untilMs = unresponsiveUntilMs ?: return owner
        val nowMs = clock.nowMs()
        if (nowMs < untilMs) return null
        unresponsiveUntilMs = nowMs + UNRESPONSIVE_PAUSE_MS
        return owner
    }

    private companion object {
        const val UNRESPONSIVE_PAUSE_MS = 500L
    }
}
