package org.hyssoprack.gateway.forwarding

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CancellationException
import org.hyssoprack.common.Clock
import org.hyssoprack.common.Failure
import org.hyssoprack.common.PromptPartId
import org.hyssoprack.common.ResultCode
import org.hyssoprack.gateway.CallerRequest
import org.hyssoprack.gateway.ServerConnections
import org.hyssoprack.gateway.forwarding.slots.SlotClient
import org.hyssoprack.serving.limits.PartGate
import org.hyssoprack.serving.limits.RetryBudget
import org.hyssoprack.serving.placement.SlotOutcome
import org.hyssoprack.serving.placement.SlotResult
import org.hyssoprack.serving.queue.QueuedRequest

/** Acquires slots for requests, by the settings in force at the time of the grant. */
internal class RequestPlacement(
    private val admission: RequestAdmission,
    private val parts: PartGate,
    private val slots: SlotClient,
    private val retryBudget: RetryBudget,
    private val connections: ServerConnections,
    private val telemetry: RequestTelemetry,
    private val clock: Clock
) {
    /** Waits for a slot. Fails with the reason for rejecting the request. */
    suspend fun acquire(
        request: CallerRequest,
        admitted: AdmittedRequest,
        progress: RequestProgress
    ): Either<Failure, GrantedRequest> {
        var call = admitted
        while (true) {
            parts.refusalBeforeWait(call.service, suspectParts(call, progress))?.let {
                return refused(call, progress, it)
            }
            val slot = slots.acquire(queued(call, progress), progress.charge).getOrElse {
                return refused(call, progress, it)
            }
            val suspects = suspectParts(call, progress)
            parts.refusalBeforeSend(call.service, suspects, slot.isTrial)?.let {
                slot.release(SlotResult(SlotOutcome.UNUSED))
                return refused(call, progress, it)
            }
            val checked = recheck(request, call, progress).getOrElse {
                slot.release(SlotResult(SlotOutcome.UNUSED))
                return refused(call, progress, it)
            }
            val isSameService = checked.service == call.service
            if (isSameService) return withRetry(GrantedRequest(checked, slot), progress)
            slot.release(SlotResult(SlotOutcome.UNUSED))
            call = checked
        }
    }

    // Newer settings hold for requests that callers send after them.
    private fun recheck(
        request: CallerRequest,
        call: AdmittedRequest,
        progress: RequestProgress
    ): Either<Failure, AdmittedRequest> =
        if (progress.isStarted) call.right() else admission.recheck(request, call)

    /**
     * Waits for a slot of another server and opens a connection to it, for a request that keeps its
     * server until then. Fails with the reason for keeping it.
     */
    suspend fun acquireReplacement(
        request: CallerRequest,
        admitted: AdmittedRequest,
        progress: RequestProgress
    ): Either<Failure, GrantedRequest> {
        val granted = acquire(request, admitted, progress).getOrElse { return it.left() }
        val slot = granted.slot
        try {
            val address = slot.state.server.address
            val id = granted.call.metadata.id
            val connection = connections.open(address, CONNECT_TIMEOUT_MS, id).getOrElse {
                connections.forget(address)
                slot.release(SlotResult(SlotOutcome.UNREACHABLE))
                retryBudget.giveBack(granted.call.service)
                return refused(granted.call, progress, it)
            }
            return GrantedRequest(granted.call, slot, connection).right()
        } catch (e: CancellationException) {
            giveBack(granted)
            throw e
        }
    }

    /** Gives the unused slot and the retry of a replacement back. */
    fun giveBack(replacement: GrantedRequest) {
        replacement.giveBack()
        retryBudget.giveBack(replacement.call.service)
    }

    /** Takes the retry from the budget if the request was sent before. */
    private fun withRetry(
        granted: GrantedRequest,
        progress: RequestProgress
    ): Either<Failure, GrantedRequest> {
        val isSentBefore = progress.arrivals > 0
        if (!isSentBefore || retryBudget.tryAcquire(granted.call.service)) return granted.right()
        granted.giveBack()
        val detail = "The retries of the service are used up for now."
        return refused(granted.call, progress, Failure(ResultCode.NO_BACKEND_SERVER, detail))
    }

    /**
     * Returns the parts that may crash servers; none after an event, which has shown that no part
     * does. The request's own part is computed only while there are suspects.
     */
    private fun suspectParts(call: AdmittedRequest, progress: RequestProgress): List<PromptPartId> =
        when {
            progress.lastEventMs != null -> emptyList()
            parts.registry.size == 0 -> call.metadata.sharedParts
            else -> call.metadata.sharedParts + progress.ownPart
        }

    private fun refused(
        call: AdmittedRequest,
        progress: RequestProgress,
        failure: Failure
    ): Either<Failure, GrantedRequest> {
        if (progress.attempts > 0) telemetry.recordFailoverRefused(call, failure)
        return failure.left()
    }

    private fun queued(call: AdmittedRequest, progress: RequestProgress): QueuedRequest {
        val totalMs = call.endMs - call.arrivedMs
        val patienceFromMs = progress.lastEventMs ?: call.arrivedMs
        val patienceEndMs = minOf(call.endMs, patienceFromMs + call.route.callerPatienceMs)
        val patienceMs = patienceEndMs - call.arrivedMs
        // A request that has run is not sent again by its caller, so it waits while the caller does.
        val waitMs =
            if (progress.runs > 0) patienceMs else minOf(totalMs / WAIT_DIVISOR, patienceMs / 2)
        return QueuedRequest(
            service = call.service,
            work = call.work,
            rank = call.rank,
            arrivedMs = call.arrivedMs,
            targetMs = call.route.targetMs,
            giveUpMs = call.arrivedMs + waitMs,
            endMs = call.endMs,
            patienceMs = patienceMs,
            avoid = progress.triedServers,
            isStarted = progress.isStarted,
            suspectParts = suspectParts(call, progress),
            route = call.route.name
        )
    }

    companion object {
        /**
         * Time within which a server must accept a connection, in milliseconds. A new connection
         * takes a few milliseconds; a server that is gone does not respond at all.
         */
        const val CONNECT_TIMEOUT_MS = 200

        // A request may wait for its total time divided by this. One that waits longer is rejected,
        // so that its caller can retry while there is time left.
        private const val WAIT_DIVISOR = 4
    }
}
