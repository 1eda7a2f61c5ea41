package org.hyssoprack.serving.placement

import org.hyssoprack.common.Clock
import org.hyssoprack.common.NoOpEventLog
import org.hyssoprack.serving.fleet.RegisteredServer
import org.hyssoprack.serving.fleet.ServerInstance
import org.hyssoprack.serving.limits.ServerRateLimit

/**
 * This host's view of one backend server instance: its load, health, speed and memory.
 *
 * @param memoryTokens configured memory in tokens; null if it is not limited.
 * @param rateLimitOf returns the request rate that a server accepts; null for any rate.
 * @param outputs how far outputs go beyond their estimates, shared by the servers of a service.
 * @param bound share of the memory that the server is believed to hold.
 */
class ServerState(
    server: RegisteredServer,
    private val clock: Clock,
    memoryTokens: Long?,
    private val rateLimitOf: (ServerInstance) -> ServerRateLimit? = { null },
    private val outputs: OutputSpread = OutputSpread(),
    bound: MemoryBound = MemoryBounds(clock, NoOpEventLog)[server.id]
) {
    /** The server's current registration. */
    var server: RegisteredServer = server
        private set

    /** Speed, estimated from the requests that this host has sent to the server. */
    val speed = ServerSpeed()

    /** How long work currently takes in relation to [speed], as the server reports it. */
    val pace = ServerPace(clock)

    private val memory = memoryTokens?.let { MemoryLedger(it, outputs, bound, clock) }
    private val health = ServerHealth(clock)
    private var own = PeerLoad()
    private var relayed = 0
    private var peers = PeerLoad()
    private var reportedOthers = 0
    private var reportedMs = Long.MIN_VALUE / 2
    private var fullUntilMs = Long.MIN_VALUE / 2
    private var closedUntilMs = Long.MIN_VALUE / 2

    /** This host's load on the server. */
    val ownLoad: PeerLoad get() = own

    /** Load of all hosts on the server, as far as known to this host. */
    val load: PeerLoad get() = (own + peers).copy(running = running)

    /** Number of requests of all hosts on the server, as far as known to this host. */
    val running: Int
        get() {
            val known = own.running + peers.running
            val isReportFresh = clock.nowMs() - reportedMs < REPORT_LIFETIME_MS
            return if (isReportFresh) maxOf(known, own.running + reportedOthers) else known
        }

    /** Prompt tokens of all hosts' requests that the server has to read. */
    val unreadTokens: Int get() = own.promptTokens + peers.promptTokens

    /** Whether the server reports its pace; the memory of the others is planned by estimates. */
    val reportsPace: Boolean get() = pace.lastPercent != null

    /** Whether the server failed recently or stopped responding, so that others are preferred. */
    val isSuspect: Boolean get() = health.isSuspect

    /** Replaces the registration with a newer one of the same server instance. */
    fun update(now: RegisteredServer) {
        server = now
    }

    /** Sets the load of the other hosts on the server. */
    fun setPeerLoad(load: PeerLoad) {
        peers = load
    }

    /** Records the load that the server itself reported. */
    fun recordReportedLoad(load: ReportedLoad) {
        reportedOthers = (load.running + load.waiting - own.running).coerceAtLeast(0)
        reportedMs = clock.nowMs()
    }

    /** Request rate that the server accepts from all hosts; null for any rate. */
    val rateLimit: ServerRateLimit? get() = rateLimitOf(server.instance)

    /** Whether the server's rate limit allows a request now. */
    val isWithinRateLimit: Boolean get() = rateLimit.let { it == null || it.waitMs() == 0L }

    /** Whether any request at all may be sent to the server now. */
    val isOpen: Boolean
        get() {
            val nowMs = clock.nowMs()
            return !server.isLeaving &&
                nowMs >= fullUntilMs &&
                nowMs >= closedUntilMs &&
                running < server.slots &&
                isWithinRateLimit
        }

    /** Whether the server has a free slot and memory for [work]. */
    fun hasRoom(work: WorkEstimate): Boolean {
        if (!isOpen) return false
        val memory = memory ?: return true
        val isIdle = running == 0
        if (reportsPace) return memory.hasRoom(work, others = peers.tokens, isIdle)
        return isIdle || own.tokens + peers.tokens + work.tokens <= memory.capacity * MEMORY_SHARE
    }

    /** Whether [work] exceeds the server's whole memory, so that it would never be accepted. */
    fun isTooSmallFor(work: WorkEstimate): Boolean = reportsPace && memory?.fitsWhole(work) == false

    /** Whether [work] would be the second of the largest requests on the server. */
    fun isSecondLarge(work: WorkEstimate): Boolean =
        reportsPace && memory?.isSecondLarge(work) == true

    /**
     * Adds [work], which was granted a slot, to the load.
     *
     * @param isRelayedHere whether this host relays the response, so that it can detect a stall.
     */
    fun recordDispatch(work: WorkEstimate, isRelayedHere: Boolean = true) {
        own += PeerLoad(1, work.promptTokens, work.tokens)
        memory?.add(work)
        if (!isRelayedHere) return
        relayed++
        health.recordRequestSent()
    }

    /**
     * Moves [work], which another host relays, from the load of the other hosts to that of this one,
     * so that it counts once.
     */
    fun recordAdopted(work: WorkEstimate) {
        peers = peers.without(PeerLoad(1, work.promptTokens, work.tokens))
        recordDispatch(work, isRelayedHere = false)
    }

    /** Records that the server has read the prompt of [work]. */
    fun recordPromptRead(work: WorkEstimate) {
        own += PeerLoad(0, -work.promptTokens, 0)
    }

    /**
     * Records that a stream's first event came after [firstMs], with [tokens] prompt tokens to be
     * read.
     */
    fun recordFirstEvent(tokens: Int, firstMs: Long) =
        speed.recordPrompt(tokens, firstMs, pace.current)

    /**
     * Removes [work], which has ended, from the load; [promptRead] tells whether its prompt had
     * been read.
     */
    fun recordEnd(work: WorkEstimate, promptRead: Boolean, isRelayedHere: Boolean = true) {
        val unread = if (promptRead) 0 else work.promptTokens
        own += PeerLoad(-1, -unread, -work.tokens)
        memory?.remove(work)
        if (!isRelayedHere) return
        relayed--
        if (relayed == 0) health.recordIdle()
    }

    /**
     * Updates health, speed and memory with the [result] of using a slot of the server; called
     * before [recordEnd].
     */
    fun recordResult(result: SlotResult) {
        when (result.outcome) {
            SlotOutcome.SUCCEEDED -> health.recordSuccess()
            SlotOutcome.FAILED -> health.recordFailure()
            SlotOutcome.UNREACHABLE -> health.recordUnreachable()
            SlotOutcome.FULL -> markFull()
            SlotOutcome.UNUSED -> Unit
        }
        result.streamTokens?.let { speed.recordStream(it, result.streamMs, pace.lasting) }
        result.callMs?.let { speed.recordCall(it, pace.current) }
        if (reportsPace) recordMemoryUse(result)
    }

    private fun recordMemoryUse(result: SlotResult) {
        if (result.isConnectionLost || result.outcome == SlotOutcome.UNREACHABLE) {
            memory?.recordLoss()
        }
        val estimate = result.streamTokens ?: return
        result.streamEvents?.let { outputs.record(estimate, it) }
    }

    /** Records that bytes arrived from the server. */
    fun recordActivity() = health.recordActivity()

    /** Records that the server does not respond to another host. */
    fun markUnresponsive() = health.markUnresponsive()

    /** Stops sending requests for a short time after the server rejected one as full. */
    private fun markFull() {
        fullUntilMs = clock.nowMs() + FULL_MS
    }

    /** Stops sending requests for [ms] milliseconds, as the server asked this host to. */
    fun closeFor(ms: Long) {
        closedUntilMs = maxOf(closedUntilMs, clock.nowMs() + ms)
    }

    /** Remaining time in which this host must not send requests, in milliseconds; 0 if it may. */
    val closedMs: Long get() = (closedUntilMs - clock.nowMs()).coerceAtLeast(0)

    private companion object {
        // The rest of the memory is left for requests that generate more tokens than expected.
        const val MEMORY_SHARE = 0.9

        // Reported load is outdated after this time, since requests of other hosts have started and
        // ended meanwhile.
        const val REPORT_LIFETIME_MS = 500L

        // About the time in which a slot of a full server becomes free.
        const val FULL_MS = 100L
    }
}
