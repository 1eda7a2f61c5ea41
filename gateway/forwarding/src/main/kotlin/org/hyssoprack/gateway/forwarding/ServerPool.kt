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
import org.hyssoprack.serving.limits.SlidingWindowSum
import org.hyssoprack.serving.placement.ServerChooser
import org.hyssoprack.serving.placement.ServerState
import org.hyssoprack.serving.placement.TypicalSpeed
import org.hyssoprack.serving.queue.DispatchQueue
import org.hyssoprack.serving.queue.QueuedRequest
import org.hyssoprack.serving.queue.RetryAfterPolicy
import org.hyssoprack.serving.settings.ServiceSpec

/** The backend servers of one service and the requests that wait for them. */
class ServerPool(
    private val clock: Clock,
    private val chooser: ServerChooser,
    private val observer: QueueObserver = NoOpQueueObserver,
    private val returns: RetryAfterPolicy = RetryAfterPolicy()
) {
    private val states = LinkedHashMap<BackendServerId, ServerState>()
    private val queue = DispatchQueue()
    private val waiting = HashMap<QueuedRequest, Waiter>()
    private val granted = SlidingWindowSum(RATE_WINDOW_MS)
    private var typical = TypicalSpeed.of(emptyList())
    private var typicalMs = Long.MIN_VALUE / 2
    private var isDispatching = false

    private class Waiter(val sinceMs: Long, val settle: (Either<Failure, ServerState>) -> Unit)

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
                held == null || !held.server.isSameInstance(server) ->
                    ServerState(server, clock, spec?.engine?.memoryTokens)

                held.server == server -> held

                else -> held.also { it.update(server) }
            }
        }
        dispatchWaiting()
    }

    /** What is known of the server [id]; null if it is not registered. */
    fun state(id: BackendServerId): ServerState? = states[id]

    /** Waits for a slot. Fails with a reason if there is none in time; nothing was sent then. */
    suspend fun acquire(request: QueuedRequest): Either<Failure, ServerState> {
        val result = CompletableDeferred<Either<Failure, ServerState>>()
        request(request) { result.complete(it) }
        try {
            return result.await()
        } catch (e: CancellationException) {
            withdraw(request)
            giveBack(request, result)
            throw e
        }
    }

    /** Asks for a slot; [settle] is called once, at once or later, unless the request is withdrawn. */
    fun request(request: QueuedRequest, settle: (Either<Failure, ServerState>) -> Unit) {
        val nowMs = clock.nowMs()
        val waiter = Waiter(nowMs, settle)
        queue.asked(request, nowMs)
        refusalOf(request)?.let { return settle(request, waiter, it.left()) }
        if (queue.size == 0) grant(request)?.let { return settle(request, waiter, it.right()) }
        if (isHopeless(request)) {
            val failure = refusal(request, ResultCode.QUEUE_FULL, standing(request))
            return settle(request, waiter, failure.left())
        }
        queue.add(request)
        waiting[request] = waiter
        dispatchWaiting()
    }

    /** Where a new request of [request]'s rank would stand now, for those who read the refusal. */
    private fun standing(request: QueuedRequest): String {
        val nowMs = clock.nowMs()
        val ahead = queue.ahead(request.rank, nowMs)
        val grants = granted.total(nowMs).toInt()
        val slots = states.values.sumOf { it.server.slots }
        val used = states.values.sumOf { it.load.running }
        val open = states.values.count { it.isOpen }
        return "$ahead of ${queue.size} waiting requests go before it; " +
            "$grants slots were granted in the last $RATE_WINDOW_MS ms; " +
            "$used of $slots slots are used, $open of ${states.size} servers are open."
    }

    /** Takes back a request that waits. */
    fun withdraw(request: QueuedRequest) {
        queue.remove(request)
        waiting.remove(request)
    }

    /** A slot may have become free. */
    fun dispatchWaiting() {
        if (queue.size == 0 || isDispatching) return
        isDispatching = true
        try {
            val nowMs = clock.nowMs()
            queue.takeExpired(nowMs).forEach {
                val detail = "No slot was free in time: ${standing(it)}"
                settle(it, refusal(it, ResultCode.DEADLINE_UNREACHABLE, detail).left())
            }
            grantWaiting(nowMs)
        } finally {
            isDispatching = false
        }
    }

    private fun grantWaiting(nowMs: Long) {
        if (states.values.none { it.isOpen }) return
        for (request in queue.ordered(nowMs)) {
            val state = grant(request) ?: continue
            queue.remove(request)
            settle(request, state.right())
            if (states.values.none { it.isOpen }) return
        }
    }

    // The slot was granted in the moment in which the caller left.
    @OptIn(ExperimentalCoroutinesApi::class)
    private fun giveBack(
        request: QueuedRequest,
        result: CompletableDeferred<Either<Failure, ServerState>>
    ) {
        if (!result.isCompleted || result.isCancelled) return
        result.getCompleted().onRight {
            it.ended(request.work, promptRead = false, request.isRelayedHere)
        }
    }

    private fun grant(request: QueuedRequest): ServerState? {
        val others = if (request.avoid.isEmpty()) {
            states.values
        } else {
            states.values.filter { it.server.id !in request.avoid }.ifEmpty { states.values }
        }
        val nowMs = clock.nowMs()
        val state = chooser.choose(others, request.demand(nowMs), typical(nowMs)) ?: return null
        state.dispatched(request.work, request.isRelayedHere)
        granted.add(nowMs, 1.0)
        queue.granted(request, typical(nowMs).slotMs(request.work), nowMs)
        return state
    }

    private fun typical(nowMs: Long): TypicalSpeed {
        if (nowMs - typicalMs >= TYPICAL_LIFETIME_MS) {
            typical = TypicalSpeed.of(states.values)
            typicalMs = nowMs
        }
        return typical
    }

    private fun refusalOf(request: QueuedRequest): Failure? {
        if (states.isEmpty()) {
            return refusal(request, ResultCode.NO_BACKEND_SERVER, "No server is registered.")
        }
        val closedMs = closedMs()
        if (closedMs == 0L || clock.nowMs() + closedMs <= request.giveUpMs) return null
        return refusal(request, ResultCode.NO_BACKEND_SERVER, "All servers asked to wait.")
    }

    /** Time until the first server may be sent a request, in milliseconds. */
    private fun closedMs(): Long =
        states.values.filter { !it.server.isLeaving }.minOfOrNull { it.closedMs } ?: 0

    /** Whether it is going to wait for longer than it may, by the grants of the last second. */
    private fun isHopeless(request: QueuedRequest): Boolean {
        val nowMs = clock.nowMs()
        val perMs = granted.total(nowMs) / RATE_WINDOW_MS
        if (queue.size < MIN_QUEUE || perMs <= 0) return false
        val inTimeMs = queue.ahead(request.rank, nowMs) / perMs
        if (inTimeMs < request.inTimeLeftMs(nowMs)) return false
        return nowMs + queue.size / perMs > request.giveUpMs
    }

    private fun refusal(request: QueuedRequest, code: ResultCode, detail: String): Failure {
        val nowMs = clock.nowMs()
        val retryAfterMs = returns.retryAfterMs(nowMs, request.endMs - nowMs)
        return Failure(code, detail, maxOf(retryAfterMs, closedMs()))
    }

    private fun settle(request: QueuedRequest, result: Either<Failure, ServerState>) {
        waiting.remove(request)?.let { settle(request, it, result) }
    }

    private fun settle(
        request: QueuedRequest,
        waiter: Waiter,
        result: Either<Failure, ServerState>
    ) {
        val waitedMs = clock.nowMs() - waiter.sinceMs
        result.fold(
            { observer.refused(request, it.code, waitedMs) },
            { observer.granted(request, waitedMs) }
        )
        waiter.settle(result)
    }

    private companion object {
        const val RATE_WINDOW_MS = 1_000L

        // Speeds change with some requests; all requests of this time share one look at them.
        const val TYPICAL_LIFETIME_MS = 100L

        // Shorter queues say little about the time to wait.
        const val MIN_QUEUE = 4
    }
}
