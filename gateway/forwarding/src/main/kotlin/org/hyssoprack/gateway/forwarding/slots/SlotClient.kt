package org.hyssoprack.gateway.forwarding.slots

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.delay
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
import org.hyssoprack.serving.limits.HostPosition
import org.hyssoprack.serving.limits.LocalQuota
import org.hyssoprack.serving.queue.QueuedRequest

/**
 * Acquires slots for this host's requests from the slot owner. While the owner's reply to a request
 * is late, this host may allocate a slot for that request itself; while the owner sends nothing at
 * all, or none is known, it allocates all slots itself, by its own server states and within its
 * share of the quotas. A request to the owner is valid for one dispatch: a grant that arrives after
 * its request was abandoned is returned.
 *
 * @param currentOwner the slot owner in this host's member view; null if there is none.
 * @param firstReplyMs time after which an owner's first reply to a request is late, in milliseconds.
 * @param markUnavailable called with an owner that cannot grant slots now, so that another one is
 *   chosen.
 * @param peers the other hosts that may be serving.
 * @param markLost called with an owner that sends nothing to several hosts.
 * @param acceptClaim called with claims of owners.
 * @param position this host's position among the hosts that may be serving.
 * @param isTakenOver whether all hosts have reported to this one as the new owner.
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
    markLost: (HostId) -> Unit = {},
    private val acceptClaim: (SlotMessage.OwnerClaim) -> Unit = {},
    private val isTakenOver: () -> Boolean = { true },
    position: () -> HostPosition = { HostPosition(index = 0, count = 1) },
    private val send: (HostId, SlotMessage) -> Unit
) {
    private val contact = OwnerContact(self.host, clock, log)
    private val loss = OwnerLossDetector(contact, peers, clock, log, markLost, send)
    private val numbers = MessageNumbers(self.incarnation)
    private val charges = SlotCharges(quota, send)
    private val running = RunningSlots(self.host, pools, contact, clock, send)
    private val peerReports = PeerReports(self.host, pools.parts, peers, send)
    private val sharingKeeper = SharingKeeper(clock)
    private val reports = OwnerReports(
        pools = pools,
        quota = quota,
        running = running,
        contact = contact,
        waitingAt = { requests.waitingAt(it) },
        numbers = numbers,
        sharing = sharingKeeper,
        clock = clock,
        send = send
    )
    private val alone: DecisionsAlone =
        DecisionsAlone(
            pools = pools,
            running = running,
            charges = charges,
            numbers = numbers,
            position = position,
            isOwnerQuiet = { contact.isQuiet },
            reportSoon = { reports.reset() }
        )
    private val requests: SlotRequests = SlotRequests(
        self = self.host,
        pools = pools,
        contact = contact,
        messages = RequestMessages(self.host, domain, pools, contact, clock),
        running = running,
        charges = charges,
        alone = alone,
        numbers = numbers,
        clock = clock,
        firstReplyMs = firstReplyMs,
        send = send
    )
    private var statusMs: Long? = null
    private var takeoverMs: Long? = null

    /** The slot owner that this host uses; null if none is known. */
    internal val owner: HostId? get() = contact.owner

    /**
     * Waits for a slot, and makes [charge] unless it was made before. Fails with the reason for
     * rejecting the request.
     */
    suspend fun acquire(request: QueuedRequest, charge: QuotaCharge?): Either<Failure, Slot> {
        // The owner learns of a limit before it gets the next request.
        if (pools.limits.hasNews || pools.parts.registry.hasNews) tick()
        peerReports.send(contact.owner)
        if (contact.owner == null) tick()
        while (true) {
            val owner = contact.responsiveOwner
            if (owner != null) {
                requests.requestFrom(owner, request, charge)?.let { return it }
                alone.tryNow(request, charge)?.let { return it.right() }
                if (isOver(request)) return undecided().left()
                if (isReplaced(owner)) continue
            }
            // An owner that still responds has granted nothing that this host can use.
            val isWithoutOwner = contact.responsiveOwner != null || !contact.isReplyPossible
            if (isWithoutOwner) {
                return alone.acquire(request, charge) ?: usageUnknown().left()
            }
            // The owner was lost a moment ago; the next one is known before long.
            alone.tryNow(request, charge)?.let { return it.right() }
            if (isOver(request)) return undecided().left()
            delay(CHECK_MS)
        }
    }

    private fun isOver(request: QueuedRequest) = clock.nowMs() > request.giveUpMs

    private fun isReplaced(owner: HostId): Boolean =
        contact.responsiveOwner.let { it != null && it != owner }

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
            is SlotMessage.OwnerClaim -> claimed(message)
            is SlotMessage.OwnerSilence -> loss.receive(from, message)
            else -> log.event("slot-message-stray", "from" eq from, "message" eq message)
        }
    }

    /**
     * Detects a change of the owner and sends reports that are due; called several times a second.
     */
    fun tick() {
        contact.tick()
        loss.tick()
        val owner = currentOwner()
        val isNew = owner != contact.owner
        if (isNew) ownerChanged(owner)
        if (owner != null && reports.isDue()) reports.report(owner, isFirst = isNew)
        peerReports.send(owner)
        if (owner == self.host) endTakeover()
        if (statusMs.let { it != null && clock.nowMs() - it > STATUS_LIFETIME_MS }) {
            statusMs = null
            pools.clearPeerLoads()
        }
    }

    private fun ownerChanged(owner: HostId?) {
        val before = contact.owner
        contact.change(owner)
        reports.reset()
        takeoverMs = clock.nowMs().takeIf { owner == self.host }
        before?.let { requests.abandon(it) }
        pools.limits.ownerChanged()
        pools.parts.registry.ownerChanged()
        before?.let { send(it, SlotMessage.Report(isLast = true)) }
    }

    /**
     * Clears the loads that the previous owner told of once all hosts have reported theirs. Until
     * then each report turns its part of them into leases, so that a slot counts once throughout.
     */
    private fun endTakeover() {
        val sinceMs = takeoverMs ?: return
        if (!isTakenOver() && clock.nowMs() - sinceMs < TAKEOVER_MS) return
        takeoverMs = null
        statusMs = null
        pools.clearPeerLoads()
    }

    private fun claimed(claim: SlotMessage.OwnerClaim) {
        acceptClaim(claim)
        if (currentOwner() != contact.owner) tick()
    }

    private fun updateStatus(from: HostRef, status: SlotMessage.OwnerStatus) {
        status.claim?.let { claimed(it) }
        if (from.host != contact.owner) return
        quota.updateUsedShares(status.usedShares)
        sharingKeeper.keep(from.host, status.sharing)
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
        tick()
        requests.abandon(from.host)
    }

    private fun usageUnknown() = Failure(
        code = ResultCode.HOST_ISOLATED,
        detail = "No slot owner responds, and this host's share of the client account's quota " +
            "is used up or not known yet.",
        retryAfterMs = RETRY_MS
    )

    private fun undecided() = Failure(
        code = ResultCode.DEADLINE_UNREACHABLE,
        detail = "The slot owner ${contact.owner} did not decide in time; its last message " +
            "arrived ${contact.silentMs} ms ago.",
        retryAfterMs = RETRY_MS
    )

    private companion object {
        // Round trip between two hosts plus the processing time of an owner without load; well below
        // any target.
        const val FIRST_REPLY_MS = 150L

        // The time of several reports and status messages, so that the loss of a few is tolerated.
        const val STATUS_LIFETIME_MS = 3_500L
        const val RETRY_MS = 300L
        const val CHECK_MS = 50L

        // A report of each host, and one more in place of a lost one.
        const val TAKEOVER_MS = 1_200L
    }
}
