package org.hyssoprack.gateway.forwarding.slots

import arrow.core.Either
import arrow.core.left
import org.hyssoprack.common.Clock
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.Failure
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.MessageNumbers
import org.hyssoprack.common.ResultCode
import org.hyssoprack.common.eq
import org.hyssoprack.gateway.forwarding.ServerPools
import org.hyssoprack.serving.limits.LocalQuota
import org.hyssoprack.serving.queue.QueuedRequest

/**
 * Acquires slots for this host's requests from the slot owner. While the owner does not respond, or
 * none is known, this host allocates slots by its own server states, within its share of the
 * quotas. A request to the owner is valid for one dispatch: a grant that arrives after its request
 * was abandoned is returned.
 *
 * @param currentOwner the slot owner in this host's member view; null if there is none.
 * @param firstReplyMs time within which an owner must reply to a request in any way, in
 *   milliseconds.
 * @param markUnavailable called with an owner that cannot grant slots now, so that another one is
 *   chosen.
 * @param peers the other hosts that may be serving.
 */
class SlotClient internal constructor(
    private val self: HostRef,
    domain: FailureDomain,
    private val pools: ServerPools,
    private val quota: LocalQuota,
    private val currentOwner: () -> HostId?,
    private val markUnavailable: (HostId) -> Unit,
    private val clock: Clock,
    private val log: EventLog,
    firstReplyMs: Long = FIRST_REPLY_MS,
    peers: () -> List<HostId> = { emptyList() },
    private val send: (HostId, SlotMessage) -> Unit
) {
    private val contact = OwnerContact(clock, log)
    private val numbers = MessageNumbers(self.incarnation)
    private val charges = SlotCharges(quota, send)
    private val running = RunningSlots(self.host, pools, contact, clock, send)
    private val peerReports = PeerReports(self.host, pools.parts, peers, send)
    private val reports = OwnerReports(pools, quota, running, contact, clock, send)
    private val requests = SlotRequests(
        self = self.host,
        pools = pools,
        contact = contact,
        messages = RequestMessages(self.host, domain, pools, contact, clock),
        running = running,
        charges = charges,
        numbers = numbers,
        clock = clock,
        firstReplyMs = firstReplyMs,
        send = send
    )
    private var statusMs: Long? = null

    /**
     * Waits for a slot, and makes [charge] unless it was made before. Fails with the reason for
     * rejecting the request.
     */
    suspend fun acquire(request: QueuedRequest, charge: QuotaCharge?): Either<Failure, Slot> {
        // The owner learns of a limit before it gets the next request.
        if (pools.limits.hasNews || pools.parts.registry.hasNews) tick()
        peerReports.send(contact.owner)
        if (contact.owner == null) tick()
        val owner = contact.responsiveOwner() ?: return acquireLocally(request, charge)
        return requests.requestFrom(owner, request, charge) ?: acquireLocally(request, charge)
    }

    /** Refunds the quota of a request that did not run. */
    fun refund(charge: QuotaCharge) = charges.refund(charge)

    /** Handles a message from a slot owner. */
    fun receive(from: HostRef, message: SlotMessage) {
        contact.heard(from.host)
        when (message) {
            is SlotMessage.Queued -> requests.queued(message)
            is SlotMessage.Granted -> requests.granted(from, message)
            is SlotMessage.Refused -> requests.refused(message)
            SlotMessage.NotReady -> ownerNotReady(from)
            is SlotMessage.ReportRequest -> reports.report(from.host, isFirst = true)
            is SlotMessage.OwnerStatus -> updateStatus(from, message)
            else -> log.event("slot-message-stray", "from" eq from, "message" eq message)
        }
    }

    /**
     * Detects a change of the owner and sends reports that are due; called several times a second.
     */
    fun tick() {
        val owner = currentOwner()
        val isNew = owner != contact.owner
        if (isNew) ownerChanged(owner)
        if (owner != null && reports.isDue()) reports.report(owner, isFirst = isNew)
        peerReports.send(owner)
        if (statusMs.let { it != null && clock.nowMs() - it > STATUS_LIFETIME_MS }) {
            statusMs = null
            pools.clearPeerLoads()
        }
    }

    private fun ownerChanged(owner: HostId?) {
        val before = contact.owner
        contact.change(owner)
        reports.reset()
        if (owner == self.host) pools.clearPeerLoads()
        pools.limits.ownerChanged()
        pools.parts.registry.ownerChanged()
        before?.let { send(it, SlotMessage.Report(isLast = true)) }
    }

    private fun updateStatus(from: HostRef, status: SlotMessage.OwnerStatus) {
        if (from.host != contact.owner) return
        quota.updateUsedShares(status.usedShares)
        status.leaving.forEach { pools.markLeaving(it) }
        if (from.host == self.host) return
        pools.limits.confirm(status.limits, from.host)
        status.parts?.let { pools.parts.registry.confirm(it, from.host) }
        statusMs = clock.nowMs()
        pools.setFleetLoads(status.loads)
    }

    private fun ownerNotReady(from: HostRef) {
        if (from.host != contact.owner) return
        log.event("slot-owner-not-ready", "owner" eq from)
        markUnavailable(from.host)
        requests.abandon(from.host)
        tick()
    }

    private suspend fun acquireLocally(
        request: QueuedRequest,
        charge: QuotaCharge?
    ): Either<Failure, Slot> {
        val isChargedHere = charge != null && charge.chargedBy == null
        if (charge != null && !charges.chargeLocally(charge)) return usageUnknown().left()
        return pools[request.service].acquire(request)
            .onLeft { if (charge != null && isChargedHere) refund(charge) }
            .map { running.add(numbers.next(), request, null, it.load.promptTokens, it) }
    }

    private fun usageUnknown() = Failure(
        code = ResultCode.HOST_ISOLATED,
        detail = "This host has no current usage of the client account's quota.",
        retryAfterMs = RETRY_MS
    )

    private companion object {
        // Round trip between two hosts plus the processing time of a busy owner; well below any
        // target.
        const val FIRST_REPLY_MS = 150L

        // The time of several reports and status messages, so that the loss of a few is tolerated.
        const val STATUS_LIFETIME_MS = 3_500L
        const val RETRY_MS = 300L
    }
}
