package org.hyssoprack.gateway.forwarding.slots

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.withTimeoutOrNull
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.Clock
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.Failure
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.MessageNumbers
import org.hyssoprack.common.ResultCode
import org.hyssoprack.common.ServiceId
import org.hyssoprack.common.eq
import org.hyssoprack.gateway.forwarding.ServerPools
import org.hyssoprack.serving.limits.LocalQuota
import org.hyssoprack.serving.placement.ServerState
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
    private val domain: FailureDomain,
    private val pools: ServerPools,
    private val quota: LocalQuota,
    private val currentOwner: () -> HostId?,
    private val markUnavailable: (HostId) -> Unit,
    private val clock: Clock,
    private val log: EventLog,
    private val firstReplyMs: Long = FIRST_REPLY_MS,
    peers: () -> List<HostId> = { emptyList() },
    private val send: (HostId, SlotMessage) -> Unit
) {
    private val peerReports = PeerReports(self.host, pools.parts, peers, send)
    private val pending = HashMap<Long, PendingRequest>()
    private val running = HashMap<Long, Slot>()
    private val numbers = MessageNumbers(self.incarnation)
    private var knownOwner: HostId? = null
    private var reportedMs = Long.MIN_VALUE / 2
    private var reportedLeaving = 0
    private var statusMs: Long? = null
    private var unresponsiveUntilMs: Long? = null

    /**
     * Waits for a slot, and makes [charge] unless it was made before. Fails with the reason for
     * rejecting the request.
     */
    suspend fun acquire(request: QueuedRequest, charge: QuotaCharge?): Either<Failure, Slot> {
        // The owner learns of a limit before it gets the next request.
        if (pools.limits.hasNews || pools.parts.registry.hasNews) tick()
        peerReports.send(knownOwner)
        val owner = responsiveOwner() ?: return acquireLocally(request, charge)
        return requestFrom(owner, request, charge) ?: acquireLocally(request, charge)
    }

    /** Refunds the quota of a request that did not run. */
    fun refund(charge: QuotaCharge) {
        val account = charge.account.name
        when (val chargedBy = charge.chargedBy) {
            is QuotaCharge.ChargedBy.Owner -> {
                quota.record(account, -charge.amount)
                send(chargedBy.host, SlotMessage.Refund(account, charge.amount))
            }

            QuotaCharge.ChargedBy.Local -> quota.refundLocally(account, charge.amount)

            null -> Unit
        }
        charge.chargedBy = null
    }

    /** Handles a message from a slot owner. */
    fun receive(from: HostRef, message: SlotMessage) {
        if (from.host == knownOwner) ownerReplied()
        when (message) {
            is SlotMessage.Queued -> pending[message.number]?.queued()
            is SlotMessage.Granted -> granted(from, message)
            is SlotMessage.Refused -> pending[message.number]?.decided(message)
            SlotMessage.NotReady -> ownerNotReady(from)
            is SlotMessage.ReportRequest -> report(from.host, isFirst = true)
            is SlotMessage.OwnerStatus -> updateStatus(from, message)
            else -> log.event("slot-message-stray", "from" eq from, "message" eq message)
        }
    }

    /**
     * Detects a change of the owner and sends reports that are due; called several times a second.
     */
    fun tick() {
        val owner = currentOwner()
        val isNew = owner != knownOwner
        if (isNew) ownerChanged(owner)
        val nowMs = clock.nowMs()
        val hasNews = pools.leaving.size > reportedLeaving ||
            pools.limits.hasNews ||
            pools.parts.registry.hasNews
        val isDue = nowMs - reportedMs >= REPORT_MS || hasNews
        if (owner != null && isDue) report(owner, isFirst = isNew)
        peerReports.send(owner)
        if (statusMs.let { it != null && nowMs - it > STATUS_LIFETIME_MS }) {
            statusMs = null
            pools.clearPeerLoads()
        }
    }

    private fun ownerChanged(owner: HostId?) {
        val before = knownOwner
        log.event("slot-owner", "owner" eq owner, "before" eq before)
        knownOwner = owner
        unresponsiveUntilMs = null
        reportedMs = Long.MIN_VALUE / 2
        if (owner == self.host) pools.clearPeerLoads()
        pools.limits.ownerChanged()
        pools.parts.registry.ownerChanged()
        before?.let { send(it, SlotMessage.Report(isLast = true)) }
    }

    /**
     * @param isFirst whether [to] lacks the data of the previous owner, so that the report includes
     *   the used shares and all rate limits.
     */
    private fun report(to: HostId, isFirst: Boolean) {
        val nowMs = clock.nowMs()
        if (to == knownOwner) {
            reportedMs = nowMs
            reportedLeaving = pools.leaving.size
        }
        // If this host is the owner, its server states already include what was applied to them
        // directly.
        val slots = running.values.filter { to != self.host || !it.isAppliedHere }.map {
            RunningSlot(
                number = it.number,
                service = it.request.service,
                server = it.state.server.id,
                promptTokens = it.request.work.promptTokens,
                outputTokens = it.request.work.outputTokens,
                isPromptRead = it.isPromptRead,
                endMs = it.request.endMs - nowMs
            )
        }
        val usedShares = if (isFirst) quota.usedShares.orEmpty() else emptyMap()
        val limits = if (isFirst) pools.limits.all() else pools.limits.takeUnreported()
        val leaving = pools.leaving.toSet()
        val parts = pools.parts.takeReport(isFirst)
        send(to, SlotMessage.Report(slots, quota.recent(), usedShares, leaving, limits, parts))
    }

    private fun updateStatus(from: HostRef, status: SlotMessage.OwnerStatus) {
        if (from.host != knownOwner) return
        quota.updateUsedShares(status.usedShares)
        status.leaving.forEach { pools.markLeaving(it) }
        if (from.host == self.host) return
        pools.limits.confirm(status.limits, from.host)
        status.parts?.let { pools.parts.registry.confirm(it, from.host) }
        statusMs = clock.nowMs()
        pools.setFleetLoads(status.loads)
    }

    private fun ownerNotReady(from: HostRef) {
        if (from.host != knownOwner) return
        log.event("slot-owner-not-ready", "owner" eq from)
        markUnavailable(from.host)
        val waiting = pending.values.filter { it.owner == from.host }
        waiting.forEach { it.decided(SlotMessage.NotReady) }
        tick()
    }

    private fun ownerReplied() {
        if (unresponsiveUntilMs != null) log.event("slot-owner-answers", "owner" eq knownOwner)
        unresponsiveUntilMs = null
    }

    /**
     * Returns the owner to use. An owner that does not reply gets only one request per
     * [UNRESPONSIVE_PAUSE_MS].
     */
    private fun responsiveOwner(): HostId? {
        if (knownOwner == null) tick()
        val untilMs = unresponsiveUntilMs ?: return knownOwner
        val nowMs = clock.nowMs()
        if (nowMs < untilMs) return null
        unresponsiveUntilMs = nowMs + UNRESPONSIVE_PAUSE_MS
        return knownOwner
    }

    /** Requests a slot from [owner]. Returns null if it does not decide. */
    private suspend fun requestFrom(
        owner: HostId,
        request: QueuedRequest,
        charge: QuotaCharge?
    ): Either<Failure, Slot>? {
        val unusable = HashSet<BackendServerId>()
        repeat(MAX_REQUESTS) {
            val number = numbers.next()
            val pendingRequest = PendingRequest(owner)
            pending[number] = pendingRequest
            try {
                send(owner, requestOf(owner, number, request, charge, unusable))
                when (val decision = decisionOf(owner, pendingRequest, request) ?: return null) {
                    is SlotMessage.Refused -> {
                        pendingRequest.isDecisionUsed = true
                        return failureOf(decision).left()
                    }

                    is SlotMessage.Granted -> {
                        slotOf(owner, decision, request, charge)?.let {
                            pendingRequest.isDecisionUsed = true
                            return it.right()
                        }
                        unusable += decision.server
                    }

                    else -> return null
                }
            } finally {
                pending.remove(number)
                if (!pendingRequest.isDecisionUsed) send(owner, SlotMessage.Cancelled(number))
            }
        }
        return null
    }

    private suspend fun decisionOf(
        owner: HostId,
        pendingRequest: PendingRequest,
        request: QueuedRequest
    ): SlotMessage? {
        if (withTimeoutOrNull(firstReplyMs) { pendingRequest.firstReply.await() } == null) {
            ownerUnresponsive(owner)
            return null
        }
        while (true) {
            withTimeoutOrNull(CHECK_MS) { pendingRequest.decision.await() }?.let { return it }
            val isOver = clock.nowMs() > request.giveUpMs + CHECK_MS
            if (isOver || knownOwner != owner || unresponsiveUntilMs != null) return null
        }
    }

    private fun ownerUnresponsive(owner: HostId) {
        if (owner != knownOwner) return
        if (unresponsiveUntilMs == null) log.event("slot-owner-silent", "owner" eq owner)
        unresponsiveUntilMs = clock.nowMs() + UNRESPONSIVE_PAUSE_MS
    }

    private fun granted(from: HostRef, granted: SlotMessage.Granted) {
        val pendingRequest = pending[granted.number]
        if (pendingRequest == null) {
            send(from.host, SlotMessage.Cancelled(granted.number))
        } else {
            pendingRequest.decided(granted)
        }
    }

    /** Returns the granted slot, or null if this host must not send to its server. */
    private fun slotOf(
        owner: HostId,
        granted: SlotMessage.Granted,
        request: QueuedRequest,
        charge: QuotaCharge?
    ): Slot? {
        val state = pools[request.service].state(granted.server) ?: return null
        if (state.server.isLeaving || state.closedMs > 0) return null
        if (!pools.versions.mayUseGranted(state.server)) return null
        if (!granted.isLimitKept) {
            if (!state.isWithinRateLimit) return null
            state.rateLimit?.take()
        }
        if (charge != null && charge.chargedBy == null) {
            charge.chargedBy = QuotaCharge.ChargedBy.Owner(owner)
            quota.record(charge.account.name, charge.amount)
        }
        val isOwn = owner == self.host
        if (!isOwn) state.recordDispatch(request.work)
        return slot(
            number = granted.number,
            request = request,
            owner = owner,
            tokensAhead = granted.promptTokens,
            isAppliedHere = !isOwn,
            state = state,
            isTrial = granted.isTrial
        )
    }

    private suspend fun acquireLocally(
        request: QueuedRequest,
        charge: QuotaCharge?
    ): Either<Failure, Slot> {
        val isChargedHere = charge != null && charge.chargedBy == null
        if (charge != null && isChargedHere) {
            if (!quota.admitLocally(charge.account, charge.amount)) return usageUnknown().left()
            charge.chargedBy = QuotaCharge.ChargedBy.Local
        }
        return pools[request.service].acquire(request)
            .onLeft { if (charge != null && isChargedHere) refund(charge) }
            .map { slot(numbers.next(), request, null, it.load.promptTokens, true, it) }
    }

    private fun slot(
        number: Long,
        request: QueuedRequest,
        owner: HostId?,
        tokensAhead: Int,
        isAppliedHere: Boolean,
        state: ServerState,
        isTrial: Boolean = false
    ): Slot = Slot(
        number = number,
        request = request,
        state = state,
        owner = owner,
        tokensAhead = tokensAhead,
        isAppliedHere = isAppliedHere,
        isTrial = isTrial,
        isCompared = pools.versions.isComparing(request.service),
        notifyOwner = ::notifyOwner
    ).also { running[number] = it }

    /**
     * Sends [message] to the owner, and to the one that granted the slot if the owner has changed
     * since.
     */
    private fun notifyOwner(slot: Slot, message: SlotMessage) {
        if (slot.isReleased) running.remove(slot.number)
        setOfNotNull(knownOwner, slot.owner).forEach { send(it, message) }
        if (slot.isReleased) pools[slot.request.service].dispatchWaiting()
    }

    private fun requestOf(
        owner: HostId,
        number: Long,
        request: QueuedRequest,
        charge: QuotaCharge?,
        unusable: Set<BackendServerId>
    ): SlotMessage.Request {
        val nowMs = clock.nowMs()
        val due = charge?.takeIf { it.chargedBy == null && it.account.ratePerS > 0 }
        return SlotMessage.Request(
            number = number,
            service = request.service,
            domain = domain,
            account = due?.account?.name,
            quota = due?.amount ?: 0.0,
            promptTokens = request.work.promptTokens,
            outputTokens = request.work.outputTokens,
            rank = request.rank,
            ageMs = nowMs - request.arrivedMs,
            targetMs = request.targetMs,
            giveUpMs = request.giveUpMs - nowMs,
            endMs = request.endMs - nowMs,
            patienceMs = request.patienceMs,
            tried = request.avoid,
            excludedServers = excludedServers(owner, request.service) + unusable,
            isStarted = request.isStarted,
            suspectParts = request.suspectParts,
            route = request.route.takeIf { pools.versions.isComparing(request.service) }
        )
    }

    private fun excludedServers(owner: HostId, service: ServiceId): Set<BackendServerId> {
        val servers = pools[service].servers
        val closed = servers.filter { it.server.isLeaving || it.closedMs > 0 }
            .mapTo(HashSet()) { it.server.id }
        val overLimit = servers.filter { isOverRateLimit(owner, it) }.map { it.server.id }
        // With every server excluded, the request would wait at the owner in vain.
        return (closed + overLimit).takeIf { it.size < servers.size } ?: closed
    }

    /**
     * Returns whether the server's rate limit leaves this host no request now, and [owner] is not
     * known to keep the limit.
     */
    private fun isOverRateLimit(owner: HostId, state: ServerState): Boolean =
        !state.isWithinRateLimit &&
            owner != self.host &&
            !(owner == knownOwner && pools.limits.isConfirmed(state.server.instance))

    private fun failureOf(refused: SlotMessage.Refused) = Failure(
        code = ResultCode.ofNumber(refused.code) ?: ResultCode.NO_BACKEND_SERVER,
        detail = refused.detail,
        retryAfterMs = refused.retryAfterMs
    )

    private fun usageUnknown() = Failure(
        code = ResultCode.HOST_ISOLATED,
        detail = "This host has no current usage of the client account's quota.",
        retryAfterMs = RETRY_MS
    )

    private companion object {
        // Round trip between two hosts plus the processing time of a busy owner; well below any
        // target.
        const val FIRST_REPLY_MS = 150L

        // Interval at which a waiting request checks whether its owner is gone and it has to use
        // another one.
        const val CHECK_MS = 200L
        const val UNRESPONSIVE_PAUSE_MS = 500L
        const val REPORT_MS = 1_000L

        // The time of several reports and status messages, so that the loss of a few is tolerated.
        const val STATUS_LIFETIME_MS = 3_500L

        // More than one, since the first granted server may be closed to this host only.
        const val MAX_REQUESTS = 2
        const val RETRY_MS = 300L
    }
}
