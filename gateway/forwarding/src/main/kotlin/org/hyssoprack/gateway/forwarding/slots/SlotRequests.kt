package org.hyssoprack.gateway.forwarding.slots

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.withTimeoutOrNull
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.Clock
import org.hyssoprack.common.Failure
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.MessageNumbers
import org.hyssoprack.common.ResultCode
import org.hyssoprack.gateway.forwarding.ServerPools
import org.hyssoprack.serving.queue.QueuedRequest

/**
 * Requests slots from the slot owner and waits for its decisions. A late first reply is no sign of a
 * lost owner: this host decides alone for that request if it may, and waits on if not.
 *
 * @param firstReplyMs time after which the owner's first reply to a request is late, in milliseconds.
 */
internal class SlotRequests(
    private val self: HostId,
    private val pools: ServerPools,
    private val contact: OwnerContact,
    private val messages: RequestMessages,
    private val running: RunningSlots,
    private val charges: SlotCharges,
    private val alone: DecisionsAlone,
    private val numbers: MessageNumbers,
    private val clock: Clock,
    private val firstReplyMs: Long,
    private val send: (HostId, SlotMessage) -> Unit
) {
    private val pending = HashMap<Long, PendingRequest>()

    /** Numbers of the requests that wait for the decision of [owner]. */
    fun waitingAt(owner: HostId): Set<Long> =
        pending.filterValues { it.owner == owner }.keys.toSet()

    fun queued(message: SlotMessage.Queued) {
        pending[message.number]?.queued()
    }

    fun refused(message: SlotMessage.Refused) {
        pending[message.number]?.decided(message)
    }

    fun granted(from: HostRef, granted: SlotMessage.Granted) {
        val pendingRequest = pending[granted.number]
        if (pendingRequest == null) {
            send(from.host, SlotMessage.Cancelled(granted.number))
        } else {
            pendingRequest.decided(granted)
        }
    }

    /** Ends the requests to [owner], which does not decide them. */
    fun abandon(owner: HostId) {
        pending.values.filter { it.owner == owner }.forEach { it.decided(SlotMessage.NotReady) }
    }

    /** Requests a slot from [owner]. Returns null if it does not decide. */
    suspend fun requestFrom(
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
                send(owner, messages.requestOf(owner, number, request, charge, unusable))
                val decision = decisionOf(owner, pendingRequest, request, charge)
                    ?: return pendingRequest.localSlot?.right()
                when (decision) {
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

    /**
     * Returns the owner's decision, or null if it does not decide in time, is lost, or this host has
     * allocated a slot itself.
     */
    private suspend fun decisionOf(
        owner: HostId,
        pendingRequest: PendingRequest,
        request: QueuedRequest,
        charge: QuotaCharge?
    ): SlotMessage? {
        withTimeoutOrNull(firstReplyMs) { pendingRequest.firstReply.await() }
        while (true) {
            if (!pendingRequest.firstReply.isCompleted || contact.isQuiet) {
                pendingRequest.localSlot = alone.tryNow(request, charge)
                if (pendingRequest.localSlot != null) return null
            }
            withTimeoutOrNull(CHECK_MS) { pendingRequest.decision.await() }?.let { return it }
            val isOver = clock.nowMs() > request.giveUpMs + CHECK_MS
            if (isOver || contact.owner != owner || contact.isSilent) return null
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
        charges.chargedBy(owner, charge)
        if (owner != self) state.recordDispatch(request.work)
        return running.add(
            number = granted.number,
            request = request,
            owner = owner,
            tokensAhead = granted.promptTokens,
            state = state,
            isTrial = granted.isTrial
        )
    }

    private fun failureOf(refused: SlotMessage.Refused) = Failure(
        code = ResultCode.ofNumber(refused.code) ?: ResultCode.NO_BACKEND_SERVER,
        detail = refused.detail,
        retryAfterMs = refused.retryAfterMs
    )

    private companion object {
        // Interval at which a waiting request checks whether its owner is gone and it has to use
        // another one, and whether this host may decide alone meanwhile.
        const val CHECK_MS = 100L

        // More than one, since the first granted server may be closed to this host only.
        const val MAX_REQUESTS = 2
    }
}
