package org.hyssoprack.serving.limits

import org.hyssoprack.common.Clock
import org.hyssoprack.common.HostId

/** The slot owner that this host hears from, if it is not the owner itself. */
internal class FollowedOwner(private val clock: Clock) {
    var id: HostId? = null
        private set
    private var confirmedMs: Long? = null
    private var sinceMs: Long? = null

    /** Whether another host was the owner when last heard of. */
    val isKnown: Boolean get() = confirmedMs != null

    /** Whether this host heard from the owner a short time ago and leaves decisions to it. */
    val isFresh: Boolean get() = confirmedMs?.let { clock.nowMs() - it <= LIFETIME_MS } ?: false

    /** Whether the owner may not have got the first report of each host. */
    val isTakingOver: Boolean get() = sinceMs?.let { clock.nowMs() - it < TAKEOVER_MS } ?: false

    /** Time from which on the last owner may not have judged crashes, in milliseconds. */
    val unconfirmedSinceMs: Long
        get() = (confirmedMs ?: sinceMs)?.let { it - LIFETIME_MS } ?: Long.MIN_VALUE

    /** Records that the owner [source] sent its records. */
    fun confirm(source: HostId) {
        if (source != id || !isFresh) sinceMs = clock.nowMs()
        id = source
        confirmedMs = clock.nowMs()
    }

    /** Records that no owner, or another one than before, is responsible. */
    fun change() {
        id = null
        confirmedMs = null
        sinceMs = clock.nowMs()
    }

    private companion object {
        // Three statuses of the slot owner, and the time that the third takes.
        const val LIFETIME_MS = 3_500L

        // A new slot owner gets the first report of each host well within this time.
        const val TAKEOVER_MS = 10_000L
    }
}
