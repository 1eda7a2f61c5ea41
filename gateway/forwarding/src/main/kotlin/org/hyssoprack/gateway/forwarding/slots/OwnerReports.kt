package org.hyssoprack.gateway.forwarding.slots

import org.hyssoprack.common.Clock
import org.hyssoprack.common.HostId
import org.hyssoprack.common.MessageNumbers
import org.hyssoprack.gateway.forwarding.ServerPools
import org.hyssoprack.serving.limits.LocalQuota

/** Sends this host's reports to the slot owner. */
internal class OwnerReports(
    private val pools: ServerPools,
    private val quota: LocalQuota,
    private val running: RunningSlots,
    private val contact: OwnerContact,
    private val waitingAt: (HostId) -> Set<Long>,
    private val numbers: MessageNumbers,
    private val sharing: SharingKeeper,
    private val clock: Clock,
    private val send: (HostId, SlotMessage) -> Unit
) {
    private var reportedMs = Long.MIN_VALUE / 2
    private var reportedLeaving = 0

    /** Makes a report due at once. */
    fun reset() {
        reportedMs = Long.MIN_VALUE / 2
    }

    /** Returns whether a report to the owner is due. */
    fun isDue(): Boolean {
        val hasNews = pools.leaving.size > reportedLeaving ||
            pools.limits.hasNews ||
            pools.parts.registry.hasNews
        return clock.nowMs() - reportedMs >= REPORT_MS || hasNews
    }

    /**
     * @param isFirst whether [to] lacks the data of the previous owner, so that the report includes
     *   the used shares, all rate limits and how the slots were shared.
     */
    fun report(to: HostId, isFirst: Boolean) {
        if (to == contact.owner) {
            reportedMs = clock.nowMs()
            reportedLeaving = pools.leaving.size
        }
        val slots = running.reportFor(to)
        val usedShares = if (isFirst) quota.usedShares.orEmpty() else emptyMap()
        val limits = if (isFirst) pools.limits.all() else pools.limits.takeUnreported()
        val leaving = pools.leaving.toSet()
        val parts = pools.parts.takeReport(isFirst)
        val report = SlotMessage.Report(
            running = slots,
            used = quota.recent(),
            usedShares = usedShares,
            leaving = leaving,
            limits = limits,
            parts = parts,
            waiting = waitingAt(to),
            lastNumber = numbers.last,
            sharing = if (isFirst) sharing.statesFor(to) else emptyList()
        )
        send(to, report)
    }

    private companion object {
        const val REPORT_MS = 1_000L
    }
}
