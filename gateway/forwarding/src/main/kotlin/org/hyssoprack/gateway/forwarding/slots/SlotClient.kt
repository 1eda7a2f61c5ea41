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
import org.hyssoprack.common.ResultCode
import org.hyssoprack.common.ServiceId
import org.hyssoprack.common.eq
import org.hyssoprack.gateway.forwarding.ServerPools
import org.hyssoprack.serving.limits.LocalQuota
import org.hyssoprack.serving.placement.ServerState
import org.hyssoprack.serving.queue.QueuedRequest

/**
 * Gets slots for this host's requests from the host that lends them. While that host does not
 * answer, or none is known, this host takes slots by what it knows itself, within its part of the
 * quotas. An ask is good for one dispatch: a grant that comes after its ask was given up is returned.
 *
 * @param currentOwner the host that lends slots, as this host sees it; null if there is none.
 * @param firstReplyMs time within which an owner says anything to an ask, in milliseconds.
 * @param markUnavailable told of an owner that cannot lend slots now, so that another one is chosen.
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
    private val send: (HostId, SlotMessage) -> Unit
) {
    private val pending = HashMap<Long, PendingRequest>()
    private val running = HashMap<Long, Slot>()
    private var lastNumber = 0L
    private var knownOwner: HostId? = null
    private var reportedMs = Long.MIN_VALUE / 2
    private var reportedLeaving = 0
    private var newsMs: Long? = null
    private var silentUntilMs: Long? = null

    /** Waits for a slot, and charges [charge] unless that was done before. */
    suspend fun acquire(request: QueuedRequest, charge: QuotaCharge?): Either<Failure, Slot> {
        val owner = answeringOwner() ?: return alone(request, charge)
        return ask(owner, request, charge) ?: alone(request, charge)
    }

    /** Gives back the quota of a request that did not run. */
    fun refund(charge: QuotaCharge) {
        val account = charge.account.name
        when (val payer = charge.payer) {
            is QuotaCharge.Payer.Owner -> {
                quota.record(account, -charge.amount)
                send(payer.host, SlotMessage.Refund(account, charge.amount))
            }

            QuotaCharge.Payer.Alone -> quota.refundLocally(account, charge.amount)

            null -> Unit
        }
        charge.payer = null
    }

    /** Takes in what the host that lends slots says. */
    fun receive(from: HostRef, message: SlotMessage) {
        if (from.host == knownOwner) heard()
        when (message) {
            is SlotMessage.Queued -> pending[message.number]?.queued()
            is SlotMessage.Granted -> granted(from, message)
            is SlotMessage.Refused -> pending[message.number]?.answered(message)
            SlotMessage.NotReady -> ownerNotReady(from)
            is SlotMessage.ReportRequest -> report(from.host, isFirst = true)
            is SlotMessage.OwnerStatus -> news(from, message)
            else -> log.event("slot-message-stray", "from" eq from, "message" eq message)
        }
    }

    /** Reports what is due; called several times a second. */
    fun tick() {
        val owner = currentOwner()
        val isNew = owner != knownOwner
        if (isNew) ownerChanged(owner)
        val nowMs = clock.nowMs()
        val isDue = nowMs - reportedMs >= REPORT_MS || pools.leaving.size > reportedLeaving
        if (owner != null && isDue) report(owner, isFirst = isNew)
        if (newsMs.let { it != null && nowMs - it > NEWS_LIFETIME_MS }) {
            newsMs = null
            pools.clearPeerLoads()
        }
    }

    private fun ownerChanged(owner: HostId?) {
        log.event("slot-owner", "owner" eq owner, "before" eq knownOwner)
        knownOwner = owner
        silentUntilMs = null
        reportedMs = Long.MIN_VALUE / 2
        if (owner == self.host) pools.clearPeerLoads()
    }

    /** @param isFirst whether [to] does not know yet what the owner before it knew. */
    private fun report(to: HostId, isFirst: Boolean) {
        val nowMs = clock.nowMs()
        if (to == knownOwner) {
            reportedMs = nowMs
            reportedLeaving = pools.leaving.size
        }
        // This host's book already has what was applied to it directly.
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
        send(to, SlotMessage.Report(slots, quota.recent(), usedShares, pools.leaving.toSet()))
    }

    private fun news(from: HostRef, news: SlotMessage.OwnerStatus) {
        if (from.host != knownOwner) return
        quota.learn(news.usedShares)
        news.leaving.forEach { pools.markLeaving(it) }
        if (from.host == self.host) return
        newsMs = clock.nowMs()
        pools.setFleetLoads(news.loads)
    }

    private fun ownerNotReady(from: HostRef) {
        if (from.host != knownOwner) return
        log.event("slot-owner-not-ready", "owner" eq from)
        markUnavailable(from.host)
        val waiting = pending.values.filter { it.owner == from.host }
        waiting.forEach { it.answered(SlotMessage.NotReady) }
        tick()
    }

    private fun heard() {
        if (silentUntilMs != null) log.event("slot-owner-answers", "owner" eq knownOwner)
        silentUntilMs = null
    }

    /** The owner to ask; a silent one is asked by one request now and then. */
    private fun answeringOwner(): HostId? {
        if (knownOwner == null) tick()
        val untilMs = silentUntilMs ?: return knownOwner
        val nowMs = clock.nowMs()
        if (nowMs < untilMs) return null
        silentUntilMs = nowMs + SILENT_PAUSE_MS
        return knownOwner
    }

    /** Asks [owner]; null if it does not decide. */
    private suspend fun ask(
        owner: HostId,
        request: QueuedRequest,
        charge: QuotaCharge?
    ): Either<Failure, Slot>? {
        val unusable = HashSet<BackendServerId>()
        repeat(MOST_ASKS) {
            val number = ++lastNumber
            val ask = PendingRequest(owner)
            pending[number] = ask
            try {
                send(owner, askOf(number, request, charge, unusable))
                when (val answer = answerOf(owner, ask, request) ?: return null) {
                    is SlotMessage.Refused -> {
                        ask.isUsed = true
                        return failureOf(answer).left()
                    }

                    is SlotMessage.Granted -> {
                        slotOf(owner, answer, request, charge)?.let {
                            ask.isUsed = true
                            return it.right()
                        }
                        unusable += answer.server
                    }

                    else -> return null
                }
            } finally {
                pending.remove(number)
                if (!ask.isUsed) send(owner, SlotMessage.Cancelled(number))
            }
        }
        return null
    }

    private suspend fun answerOf(
        owner: HostId,
        ask: PendingRequest,
        request: QueuedRequest
    ): SlotMessage? {
        if (withTimeoutOrNull(firstReplyMs) { ask.firstReply.await() } == null) {
            ownerSilent(owner)
            return null
        }
        while (true) {
            withTimeoutOrNull(CHECK_MS) { ask.answer.await() }?.let { return it }
            val isOver = clock.nowMs() > request.giveUpMs + CHECK_MS
            if (isOver || knownOwner != owner || silentUntilMs != null) return null
        }
    }

    private fun ownerSilent(owner: HostId) {
        if (owner != knownOwner) return
        if (silentUntilMs == null) log.event("slot-owner-silent", "owner" eq owner)
        silentUntilMs = clock.nowMs() + SILENT_PAUSE_MS
    }

    private fun granted(from: HostRef, granted: SlotMessage.Granted) {
        val ask = pending[granted.number]
        if (ask == null) {
            send(from.host, SlotMessage.Cancelled(granted.number))
        } else {
            ask.answered(granted)
        }
    }

    /** The slot that was granted; null if nothing may be sent to its server from here. */
    private fun slotOf(
        owner: HostId,
        granted: SlotMessage.Granted,
        request: QueuedRequest,
        charge: QuotaCharge?
    ): Slot? {
        val state = pools[request.service].state(granted.server) ?: return null
        if (state.server.isLeaving || state.closedMs > 0) return null
        if (charge != null && charge.payer == null) {
            charge.payer = QuotaCharge.Payer.Owner(owner)
            quota.record(charge.account.name, charge.amount)
        }
        val isOwn = owner == self.host
        if (!isOwn) state.dispatched(request.work)
        return slot(granted.number, request, owner, granted.promptTokens, !isOwn, state)
    }

    private suspend fun alone(request: QueuedRequest, charge: QuotaCharge?): Either<Failure, Slot> {
        val isChargedHere = charge != null && charge.payer == null
        if (charge != null && isChargedHere) {
            if (!quota.admitLocally(charge.account, charge.amount)) return quotaUnknown().left()
            charge.payer = QuotaCharge.Payer.Alone
        }
        return pools[request.service].acquire(request)
            .onLeft { if (charge != null && isChargedHere) refund(charge) }
            .map { slot(++lastNumber, request, null, it.load.promptTokens, true, it) }
    }

    private fun slot(
        number: Long,
        request: QueuedRequest,
        owner: HostId?,
        tokensAhead: Int,
        isAppliedHere: Boolean,
        state: ServerState
    ): Slot = Slot(number, request, state, owner, tokensAhead, isAppliedHere, ::tell)
        .also { running[number] = it }

    /** Tells the owner, and the one that lent the slot if that has changed meanwhile. */
    private fun tell(slot: Slot, message: SlotMessage) {
        if (slot.isOver) running.remove(slot.number)
        setOfNotNull(knownOwner, slot.owner).forEach { send(it, message) }
        if (slot.isOver) pools[slot.request.service].dispatchWaiting()
    }

    private fun askOf(
        number: Long,
        request: QueuedRequest,
        charge: QuotaCharge?,
        unusable: Set<BackendServerId>
    ): SlotMessage.Request {
        val nowMs = clock.nowMs()
        val due = charge?.takeIf { it.payer == null && it.account.ratePerS > 0 }
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
            excludedServers = excludedServers(request.service) + unusable
        )
    }

    private fun excludedServers(service: ServiceId): Set<BackendServerId> = pools[service].servers
        .filter { it.server.isLeaving || it.closedMs > 0 }
        .mapTo(HashSet()) { it.server.id }

    private fun failureOf(refused: SlotMessage.Refused) = Failure(
        code = ResultCode.ofNumber(refused.code) ?: ResultCode.NO_BACKEND_SERVER,
        detail = refused.detail,
        retryAfterMs = refused.retryAfterMs
    )

    private fun quotaUnknown() = Failure(
        code = ResultCode.HOST_ISOLATED,
        detail = "The account's use is not known here now.",
        retryAfterMs = RETRY_MS
    )

    private companion object {
        // Both ways between two hosts and a busy owner's turn; well below any target.
        const val FIRST_REPLY_MS = 150L

        // How soon a request that waits at a host which is gone is taken elsewhere.
        const val CHECK_MS = 200L
        const val SILENT_PAUSE_MS = 500L
        const val REPORT_MS = 1_000L

        // Some reports and news are missing.
        const val NEWS_LIFETIME_MS = 3_500L

        // The first server that was granted may be closed to this host alone.
        const val MOST_ASKS = 2
        const val RETRY_MS = 300L
    }
}
