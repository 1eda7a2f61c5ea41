package org.hyssoprack.gateway.forwarding

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.Clock
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode
import org.hyssoprack.serving.fleet.RegisteredServer
import org.hyssoprack.serving.limits.WindowCount
import org.hyssoprack.serving.placement.PeerLoad
import org.hyssoprack.serving.placement.ServerChooser
import org.hyssoprack.serving.placement.ServerState
import org.hyssoprack.serving.queue.DispatchQueue
import org.hyssoprack.serving.queue.QueuedRequest
import org.hyssoprack.serving.queue.ReturnSchedule
import org.hyssoprack.serving.settings.ServiceSpec

/** The backend servers of one service and the requests that wait for them. */
class ServerPool(
    private val clock: Clock,
    private val chooser: ServerChooser,
    private val returns: ReturnSchedule = ReturnSchedule()
) {
    private val states = LinkedHashMap<BackendServerId, ServerState>()
    private val queue = DispatchQueue()
    private val waiting =
        HashMap<QueuedRequest, CompletableDeferred<Either<Failure, ServerState>>>()
    private val granted = WindowCount(RATE_WINDOW_MS)

    /** What this host knows of each server. */
    val servers: Collection<ServerState> get() = states.values

    val queueLength: Int get() = queue.size

    /** Takes [registered] as the service's servers; knowledge of the same run is kept. */
    fun update(registered: Collection<RegisteredServer>, spec: ServiceSpec?) {
        val old = HashMap(states)
        states.clear()
        registered.forEach { server ->
            val held = old[server.id]
            states[server.id] = when {
                held == null || !held.server.isSameRun(server) ->
                    ServerState(server, clock, spec?.engine?.memoryTokens)

                held.server == server -> held

                else -> held.also { it.update(server) }
            }
        }
        pump()
    }

    /** Sets what other hosts have in progress at each server. */
    fun setPeers(loads: Map<BackendServerId, PeerLoad>) {
        states.values.forEach { it.setPeers(loads[it.server.id] ?: PeerLoad()) }
    }

    /** Waits for a slot. Fails with a reason if there is none in time; nothing was sent then. */
    suspend fun acquire(request: QueuedRequest): Either<Failure, ServerState> {
        if (states.isEmpty()) {
            return refusal(request, ResultCode.NO_BACKEND_SERVER, "No server is registered.").left()
        }
        val closedMs = closedMs()
        if (clock.nowMs() + closedMs > request.giveUpMs) {
            return refusal(
                request,
                ResultCode.NO_BACKEND_SERVER,
                "All servers asked to wait."
            ).left()
        }
        if (queue.size == 0) grant(request)?.let { return it.right() }
        val ahead = queue.ahead(request.rank)
        if (isHopeless(request, ahead)) {
            return refusal(request, ResultCode.QUEUE_FULL, "$ahead requests wait before it.").left()
        }
        queue.add(request)
        val result = CompletableDeferred<Either<Failure, ServerState>>()
        waiting[request] = result
        pump()
        return await(request, result)
    }

    /** A slot may have become free. */
    fun pump() {
        if (queue.size == 0) return
        val nowMs = clock.nowMs()
        queue.takeExpired(nowMs).forEach {
            val failure = refusal(it, ResultCode.DEADLINE_UNREACHABLE, "No slot was free in time.")
            settle(it, failure.left())
        }
        for (request in queue.ordered(nowMs)) {
            val state = grant(request) ?: continue
            queue.remove(request)
            settle(request, state.right())
        }
    }

    private suspend fun await(
        request: QueuedRequest,
        result: CompletableDeferred<Either<Failure, ServerState>>
    ): Either<Failure, ServerState> = try {
        result.await()
    } catch (e: CancellationException) {
        waiting.remove(request)
        if (!queue.remove(request)) giveBack(request, result)
        throw e
    }

    // The slot was granted in the moment in which the caller left.
    @OptIn(ExperimentalCoroutinesApi::class)
    private fun giveBack(
        request: QueuedRequest,
        result: CompletableDeferred<Either<Failure, ServerState>>
    ) {
        if (!result.isCompleted || result.isCancelled) return
        result.getCompleted().onRight { it.ended(request.work, promptRead = false) }
    }

    private fun grant(request: QueuedRequest): ServerState? {
        val others = states.values.filter { it.server.id !in request.avoid }
        val demand = request.demand(clock.nowMs())
        val state = chooser.choose(others.ifEmpty { states.values }, demand) ?: return null
        state.dispatched(request.work)
        granted.add(clock.nowMs(), 1.0)
        return state
    }

    /** Time until the first server may be sent a request, in milliseconds. */
    private fun closedMs(): Long =
        states.values.filter { !it.server.isLeaving }.minOfOrNull { it.closedMs } ?: 0

    private fun isHopeless(request: QueuedRequest, ahead: Int): Boolean {
        val perMs = granted.total(clock.nowMs()) / RATE_WINDOW_MS
        if (ahead < MIN_QUEUE || perMs <= 0) return false
        return clock.nowMs() + ahead / perMs > request.giveUpMs
    }

    private fun refusal(request: QueuedRequest, code: ResultCode, detail: String): Failure {
        val nowMs = clock.nowMs()
        val returnMs = returns.returnMs(nowMs, request.endMs - nowMs)
        return Failure(code, detail, maxOf(returnMs, closedMs()))
    }

    private fun settle(request: QueuedRequest, result: Either<Failure, ServerState>) {
        waiting.remove(request)?.complete(result)
    }

    private companion object {
        const val RATE_WINDOW_MS = 1_000L

        // Shorter queues say little about the time to wait.
        const val MIN_QUEUE = 4
    }
}
