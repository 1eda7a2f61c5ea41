package org.hyssoprack.gateway.forwarding

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.Clock
import org.hyssoprack.common.Failure
import org.hyssoprack.common.NoOpEventLog
import org.hyssoprack.common.ResultCode
import org.hyssoprack.common.ServiceId
import org.hyssoprack.gateway.forwarding.rollout.AllVersions
import org.hyssoprack.gateway.forwarding.rollout.VersionGate
import org.hyssoprack.serving.fleet.RegisteredServer
import org.hyssoprack.serving.fleet.ServerLimitRegistry
import org.hyssoprack.serving.limits.SlidingWindowSum
import org.hyssoprack.serving.placement.MemoryBounds
import org.hyssoprack.serving.placement.OutputSpread
import org.hyssoprack.serving.placement.ServerChooser
import org.hyssoprack.serving.placement.ServerState
import org.hyssoprack.serving.placement.TypicalSpeed
import org.hyssoprack.serving.queue.DispatchQueue
import org.hyssoprack.serving.queue.QueuedRequest
import org.hyssoprack.serving.queue.RetryAfterPolicy
import org.hyssoprack.serving.settings.ServiceSpec
import org.hyssoprack.serving.sharing.GrantRate
import org.hyssoprack.serving.sharing.ReturnTimes
import org.hyssoprack.serving.sharing.SharingState
import org.hyssoprack.serving.sharing.StartForecast

/** The backend servers of one service and the requests that wait for them. */
class ServerPool(
    private val clock: Clock,
    private val chooser: ServerChooser,
    private val observer: QueueObserver = NoOpQueueObserver,
    retryAfter: RetryAfterPolicy = RetryAfterPolicy(),
    private val limits: ServerLimitRegistry = ServerLimitRegistry(clock, NoOpEventLog),
    private val memory: MemoryBounds = MemoryBounds(clock, NoOpEventLog),
    private val versions: VersionGate = AllVersions
) {
    private val states = LinkedHashMap<BackendServerId, ServerState>()
    private val present = PresentServers(states.values, limits)
    private val queue = DispatchQueue()
    private val returns = ReturnTimes(retryAfter)
    private val waiting = HashMap<QueuedRequest, Waiter>()
    private val outputs = OutputSpread()
    private val rate = GrantRate()
    private val expiry = ExpiryForecast(queue, rate)
    private val requested = SlidingWindowSum(DEMAND_WINDOW_MS)
    private var typical = TypicalSpeed.of(emptyList())
    private var typicalMs = Long.MIN_VALUE / 2
    private var isDispatching = false

    private class Waiter(
        val sinceMs: Long,
        val isReturning: Boolean,
        val settle: (Either<Failure, ServerState>) -> Unit
    )

    /** This host's state of each server. */
    val servers: Collection<ServerState> get() = states.values

    val queueLength: Int get() = queue.size

    /**
     * Replaces the service's servers with [registered]; the states of instances that remain are
     * kept.
     */
    fun update(registered: Collection<RegisteredServer>, spec: ServiceSpec?) {
        val old = HashMap(states)
        states.clear()
        registered.forEach { server ->
            val previous = old[server.id]
            states[server.id] = when {
                previous == null || !previous.server.isSameInstance(server) ->
                    stateOf(server, spec)

                previous.server == server -> previous

                else -> previous.also { it.update(server) }
            }
        }
        dispatchWaiting()
    }

    private fun stateOf(server: RegisteredServer, spec: ServiceSpec?) = ServerState(
        server = server,
        clock = clock,
        memoryTokens = spec?.engine?.memoryTokens,
        rateLimitOf = limits::get,
        outputs = outputs,
        bound = memory[server.id]
    )

    /** Returns the state of the server [id], or null if it is not registered. */
    fun state(id: BackendServerId): ServerState? = states[id]

    /**
     * Grants a free slot of one of the servers [among] at once; null if there is none or other
     * requests wait.
     */
    fun tryAcquire(request: QueuedRequest, among: Set<BackendServerId>): ServerState? =
        if (queue.size > 0) null else grant(request, states.values.filter { it.server.id in among })

    /**
     * Requests a slot. Calls [settle] once, immediately or later, unless the request is withdrawn.
     */
    fun request(request: QueuedRequest, settle: (Either<Failure, ServerState>) -> Unit) {
        val nowMs = clock.nowMs()
        queue.recordRequest(request, nowMs)
        requested.add(nowMs, 1.0)
        val isShared = isShared()
        val isReturning =
            isShared && request.isFirstAttempt && returns.redeem(request.returnKey, nowMs)
        val waiter = Waiter(nowMs, isReturning, settle)
        rejectionOf(request)?.let { return settle(request, waiter, it.left()) }
        if (queue.size == 0) grant(request)?.let { return settle(request, waiter, it.right()) }
        if (!isShared && !present.areAllLimited && expiry.isExpectedToExpire(request, nowMs)) {
            val failure = rejection(request, ResultCode.QUEUE_FULL, queueStatus(request))
            return settle(request, waiter, failure.left())
        }
        if (queue.size == 0) rate.recordQueueBegin(nowMs)
        queue.add(request, typical(nowMs).slotMs(request.work), isReturning, isShared)
        waiting[request] = waiter
        val forecast = if (isShared) forecast(request, nowMs) else null
        if (forecast?.isInTime(request.onTimeWaitMs(nowMs), request.giveUpMs - nowMs) == false) {
            return refuseOnArrival(request, forecast)
        }
        dispatchWaiting()
    }

    // Servers that report their pace run beside other work, so that capacity falls short at times
    // for which nobody planned; elsewhere the order of age and the former predictions hold.
    private fun isShared() = states.values.any { it.reportsPace }

    /** Returns the state of sharing the slots of [service], for the next owner. */
    fun sharing(service: ServiceId): SharingState? {
        val state = SharingState(service, queue.leads(), returns.expected(clock.nowMs()))
        return state.takeIf { it.leads.isNotEmpty() || it.expected.isNotEmpty() }
    }

    /** Continues from the [state] of a previous owner. */
    fun inherit(state: SharingState) {
        queue.inherit(state.leads)
        returns.inherit(state.expected, clock.nowMs())
    }

    /** Describes the queue for a new request of [request]'s rank, for the detail of a rejection. */
    private fun queueStatus(request: QueuedRequest): String {
        val nowMs = clock.nowMs()
        return QueueStatus(
            ahead = queue.ahead(request.rank, nowMs),
            waiting = queue.size,
            grants = rate.count(nowMs),
            servers = states.values
        ).toString()
    }

    /** Removes a waiting request. */
    fun withdraw(request: QueuedRequest) {
        queue.remove(request)
        waiting.remove(request)
    }

    /**
     * Rejects requests that waited too long and grants free slots to the others; called when a slot
     * may have become free.
     */
    fun dispatchWaiting() {
        if (queue.size == 0 || isDispatching) return
        isDispatching = true
        try {
            val nowMs = clock.nowMs()
            queue.takeExpired(nowMs).forEach {
                val detail = "No slot was granted in time: ${queueStatus(it)}"
                settle(it, rejection(it, expiryCode(), detail).left())
            }
            grantWaiting(nowMs)
            if (present.areAllLimited) rejectUnreachable(nowMs)
        } finally {
            isDispatching = false
        }
    }

    /**
     * Rejects the requests that the rate limits of the servers do not admit in time. While more
     * requests arrive than the limits admit, later ones that can be on time go ahead of those that
     * cannot, which therefore do not wait.
     */
    private fun rejectUnreachable(nowMs: Long) {
        val admittedPerWindow = present.hostPerS * DEMAND_WINDOW_MS / MS_PER_S
        val isOverloaded = requested.total(nowMs) > admittedPerWindow
        var ahead = 0
        for (request in queue.ordered(nowMs)) {
            val waitMs = present.limitedWaitMs(ahead)
            val isTooLate = nowMs + waitMs > request.giveUpMs
            val isLate = !request.isStarted && waitMs > request.onTimeWaitMs(nowMs)
            if (isTooLate || isOverloaded && isLate) {
                queue.remove(request)
                val detail = queueStatus(request)
                settle(request, rejection(request, ResultCode.SERVERS_LIMITED, detail).left())
            } else {
                ahead++
            }
        }
    }

    private fun expiryCode() =
        if (present.areAllLimited) ResultCode.SERVERS_LIMITED else ResultCode.DEADLINE_UNREACHABLE

    private fun grantWaiting(nowMs: Long) {
        if (!hasOpen()) return
        for (request in queue.ordered(nowMs)) {
            val state = grant(request) ?: continue
            queue.remove(request)
            settle(request, state.right())
            if (!hasOpen()) return
        }
    }

    private fun hasOpen() = versions.allowed(states.values, byOwner = true).any { it.isOpen }

    private fun grant(
        request: QueuedRequest,
        servers: Collection<ServerState> = states.values
    ): ServerState? {
        val allowed = versions.allowed(servers, request.isGrantedByOwner)
        val candidates = if (request.avoid.isEmpty()) {
            allowed
        } else {
            allowed.filter { it.server.id !in request.avoid }.ifEmpty { allowed }
        }
        val nowMs = clock.nowMs()
        val state =
            chooser.choose(candidates, request.placement(nowMs), typical(nowMs)) ?: return null
        state.recordDispatch(request.work, request.isRelayedHere)
        state.rateLimit?.take()
        val slotMs = typical(nowMs).slotMs(request.work)
        rate.recordGrant(slotMs, nowMs)
        queue.recordGrant(request, slotMs, nowMs, isShared())
        return state
    }

    private fun typical(nowMs: Long): TypicalSpeed {
        if (nowMs - typicalMs >= TYPICAL_LIFETIME_MS) {
            typical = TypicalSpeed.of(states.values)
            typicalMs = nowMs
        }
        return typical
    }

    private fun rejectionOf(request: QueuedRequest): Failure? {
        if (states.isEmpty()) {
            return rejection(
                request,
                ResultCode.NO_BACKEND_SERVER,
                "No backend server is registered for the service."
            )
        }
        if (states.values.all { it.isTooSmallFor(request.work) }) {
            val detail = "${request.work.tokens} tokens exceed the memory of every backend server."
            return Failure(ResultCode.MEMORY_EXCEEDED, detail)
        }
        val closedMs = present.closedMs
        if (closedMs == 0L || clock.nowMs() + closedMs <= request.giveUpMs) return null
        return rejection(
            request,
            ResultCode.NO_BACKEND_SERVER,
            "All backend servers of the service asked this host to wait."
        )
    }

    /**
     * Predicts when a request that has just begun to wait is granted a slot; null if this cannot be
     * predicted. Those whose response has been started go ahead of the others.
     */
    private fun forecast(request: QueuedRequest, nowMs: Long): StartForecast? {
        val isShort = queue.size <= ExpiryForecast.MIN_QUEUE
        if (request.isStarted || isShort || present.areAllLimited) return null
        val slots = present.slots
        return queue.forecast(request, rate.usableSlots(slots, nowMs), nowMs)
    }

    /**
     * Rejects a request that is expected to expire, unless a slot suits it that no other waiting
     * request could use when the queue was last dispatched.
     */
    private fun refuseOnArrival(request: QueuedRequest, forecast: StartForecast) {
        val state = if (isDispatching) null else grant(request)
        queue.remove(request)
        val detail = "${queueStatus(request)} $forecast"
        val result =
            state?.right() ?: rejection(request, ResultCode.QUEUE_FULL, detail).left()
        settle(request, result)
    }

    private fun rejection(request: QueuedRequest, code: ResultCode, detail: String): Failure {
        val nowMs = clock.nowMs()
        val limitedMs = if (present.areAllLimited) present.limitedWaitMs(queue.size) else 0
        val retryAfterMs = returns.retryAfterMs(
            key = request.returnKey,
            nowMs = nowMs,
            leftMs = request.endMs - nowMs,
            waitMs = maxOf(present.closedMs, limitedMs),
            // The limits have their own prediction, which is part of the waiting time.
            grantsPerMs = if (present.areAllLimited || !isShared()) 0.0 else rate.perMs(nowMs)
        )
        return Failure(code, detail, retryAfterMs)
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
            { observer.refused(request, it.code, waitedMs, waiter.isReturning) },
            { observer.granted(request, waitedMs, waiter.isReturning) }
        )
        waiter.settle(result)
    }

    private companion object {
        const val MS_PER_S = 1_000.0

        // Contains several requests also at rates below one per second.
        const val DEMAND_WINDOW_MS = 5_000L

        // Speeds change only with some requests, so the medians are reused for this time.
        const val TYPICAL_LIFETIME_MS = 100L
    }
}
