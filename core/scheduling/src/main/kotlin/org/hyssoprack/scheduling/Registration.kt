package org.hyssoprack.scheduling

import org.hyssoprack.common.HostRef
import org.hyssoprack.common.TierRank

/**
 * Waiting requests of one host, client account and kind in an owner's queue. Times are on the
 * owner's clock, except [askedAtMs], which is on the holder's.
 */
internal class Registration(val key: RegistrationKey, val share: Int) {
    var count = 0
    var urgent = 0
    var askedAtMs = Long.MIN_VALUE
    var arrivedAtMs = 0L
    var latestDispatchAtMs = 0L
    var lapsesAtMs = 0L

    val holder: HostRef get() = key.holder
    val tier: TierRank get() = key.tier
    val long: Boolean get() = key.long
    val isResuming: Boolean get() = key.resuming != null
    val flow: FlowKey get() = FlowKey(account = key.account, long = key.long)

    /** Applies [message], unless a later one from the holder was applied before. */
    fun update(nowMs: Long, message: SlotMessage.Ask, termMs: Long) {
        if (message.sentAtMs < askedAtMs) return
        count = message.count
        urgent = message.urgent
        askedAtMs = message.sentAtMs
        arrivedAtMs = nowMs - message.waitedMs
        latestDispatchAtMs = nowMs + message.slackMs
        lapsesAtMs = nowMs + termMs
    }

    /**
     * Counts a slot that one of the requests got. The owner does not know the times of the next
     * request and assumes that it arrived and is due [SPACING_MS] later.
     */
    fun served() {
        count--
        urgent = (urgent - 1).coerceAtLeast(0)
        arrivedAtMs += SPACING_MS
        latestDispatchAtMs += SPACING_MS
    }

    private companion object {
        const val SPACING_MS = 50L
    }
}
