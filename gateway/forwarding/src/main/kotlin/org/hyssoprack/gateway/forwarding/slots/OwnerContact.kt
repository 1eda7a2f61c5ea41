package org.hyssoprack.gateway.forwarding.slots

import org.hyssoprack.common.Clock
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.HostId
import org.hyssoprack.common.eq

/** The slot owner that this host uses, and the time since its last message. */
internal class OwnerContact(
    private val self: HostId,
    private val clock: Clock,
    private val log: EventLog
) {
    /** The owner in use; null if none is known. */
    var owner: HostId? = null
        private set

    private var heardMs = clock.nowMs()
    private var tickMs = clock.nowMs()
    private var isSilenceLogged = false

    /** Time since the owner's last message, in milliseconds. */
    val silentMs: Long get() = if (owner == self) 0 else clock.nowMs() - heardMs

    /**
     * Whether the owner has sent nothing for longer than load delays all of its messages, so that
     * requests are decided without it.
     */
    val isSilent: Boolean get() = silentMs > SILENT_MS

    /** Whether the owner has sent nothing for longer than it does without load. */
    val isQuiet: Boolean get() = silentMs > QUIET_MS

    /** Whether a silent owner may still reply, or be replaced by another one, before long. */
    val isReplyPossible: Boolean get() = owner != null && silentMs <= REPLACED_MS

    /** The owner to send requests to; null if there is none or it is silent. */
    val responsiveOwner: HostId? get() = owner.takeUnless { isSilent }

    /** Uses [now] from now on. */
    fun change(now: HostId?) {
        log.event("slot-owner", "owner" eq now, "before" eq owner, "silentMs" eq silentMs)
        owner = now
        heard()
        isSilenceLogged = false
    }

    /** Records a message of [host]. */
    fun heard(host: HostId) {
        if (host != owner) return
        if (isSilenceLogged) {
            log.event("slot-owner-answers", "owner" eq owner, "silentMs" eq silentMs)
        }
        isSilenceLogged = false
        heard()
    }

    /**
     * Logs that the owner is silent; called several times a second. After a pause of this host, its
     * own delay is no evidence of the owner's silence.
     */
    fun tick() {
        val nowMs = clock.nowMs()
        if (nowMs - tickMs > PAUSE_MS) heard()
        tickMs = nowMs
        if (!isSilent || isSilenceLogged || owner == null) return
        isSilenceLogged = true
        log.event("slot-owner-silent", "owner" eq owner, "silentMs" eq silentMs)
    }

    private fun heard() {
        heardMs = clock.nowMs()
    }

    companion object {
        /** Time without a message from an owner, at several hosts, after which it is lost. */
        const val LOST_MS = 1_500L

        // The owner sends something every 550 ms or more often; at 600 ms, an owner that suddenly became
        // slow by 1 s let hosts put 9 requests on a server of 6 slots in place of 8.
        private const val QUIET_MS = 850L

        // Allows for delays of the owner's messages.
        private const val SILENT_MS = 1_000L

        // The loss of an owner is concluded, and the next one used, within this time.
        private const val REPLACED_MS = 3_000L

        // Several ticks.
        private const val PAUSE_MS = 600L
    }
}
