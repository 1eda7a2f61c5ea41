package org.hyssoprack.serving.placement

import org.hyssoprack.common.Clock
import org.hyssoprack.serving.fleet.RegisteredServer

/** What this host knows of one run of a backend server. */
class ServerState(
    server: RegisteredServer,
    private val clock: Clock,
    private val memoryTokens: Long?
) {
    /** What the server says of itself. */
    var server: RegisteredServer = server
        private set

    /** Speed, as learnt from the requests that this host has sent there. */
    val speed = ServerSpeed()

    private val health = ServerHealth(clock)
    private var own = PeerLoad()
    private var watched = 0
    private var peers = PeerLoad()
    private var reportedOthers = 0
    private var reportedMs = Long.MIN_VALUE / 2
    private var fullUntilMs = Long.MIN_VALUE / 2
    private var closedUntilMs = Long.MIN_VALUE / 2

    /** What this host has in progress there. */
    val ownLoad: PeerLoad get() = own

    /** What all hosts have in progress there, as far as known. */
    val load: PeerLoad
        get() {
            val known = own + peers
            val isReportFresh = clock.nowMs() - reportedMs < REPORT_LIFETIME_MS
            if (!isReportFresh) return known
            return known.copy(running = maxOf(known.running, own.running + reportedOthers))
        }

    /** Whether the server has failed lately or has gone silent, so that others go before it. */
    val isSuspect: Boolean get() = health.isSuspect

    /** Takes over what the same run of the server says of itself now. */
    fun update(now: RegisteredServer) {
        server = now
    }

    /** Sets what the other hosts have in progress there. */
    fun setPeerLoad(load: PeerLoad) {
        peers = load
    }

    /** Takes in what the server itself says that it has in progress. */
    fun reported(load: ReportedLoad) {
        reportedOthers = (load.running + load.waiting - own.running).coerceAtLeast(0)
        reportedMs = clock.nowMs()
    }

    /** Whether any request at all may be sent to it now. */
    val isOpen: Boolean
        get() {
            val nowMs = clock.nowMs()
            return !server.isLeaving &&
                nowMs >= fullUntilMs &&
                nowMs >= closedUntilMs &&
                load.running < server.slots
        }

    /** Whether the server has a free slot and memory for [work]. */
    fun hasRoom(work: WorkEstimate): Boolean {
        if (!isOpen) return false
        val load = load
        val memory = memoryTokens ?: return true
        return load.running == 0 || load.tokens + work.tokens <= memory * MEMORY_SHARE
    }

    /**
     * A slot was given to [work].
     *
     * @param isRelayedHere whether this host sees the answer's bytes, so that it can tell silence.
     */
    fun dispatched(work: WorkEstimate, isRelayedHere: Boolean = true) {
        own += PeerLoad(1, work.promptTokens, work.tokens)
        if (!isRelayedHere) return
        watched++
        health.waiting()
    }

    /** The prompt of [work] has been read. */
    fun promptRead(work: WorkEstimate) {
        own += PeerLoad(0, -work.promptTokens, 0)
    }

    /** [work] has ended; [promptRead] says whether its prompt had been read. */
    fun ended(work: WorkEstimate, promptRead: Boolean, isRelayedHere: Boolean = true) {
        val unread = if (promptRead) 0 else work.promptTokens
        own += PeerLoad(-1, -unread, -work.tokens)
        if (!isRelayedHere) return
        watched--
        if (watched == 0) health.idle()
    }

    /** Takes in what the use of one of its slots has shown. */
    fun learn(result: SlotResult) {
        when (result.outcome) {
            SlotOutcome.SUCCEEDED -> health.succeeded()
            SlotOutcome.FAILED -> health.failed()
            SlotOutcome.UNREACHABLE -> health.unreachable()
            SlotOutcome.FULL -> full()
            SlotOutcome.UNUSED -> Unit
        }
        result.streamTokens?.let { speed.stream(it, result.streamMs) }
        result.callMs?.let { speed.call(it) }
    }

    /** Bytes have arrived from the server. */
    fun heard() = health.heard()

    /** Another host finds the server silent. */
    fun markSilent() = health.markSilent()

    /** The server turned a request away since it is full. */
    private fun full() {
        fullUntilMs = clock.nowMs() + FULL_MS
    }

    /** The server asked this host to send nothing for [ms]. */
    fun closeFor(ms: Long) {
        closedUntilMs = maxOf(closedUntilMs, clock.nowMs() + ms)
    }

    /** Time for which this host must send nothing, in milliseconds; 0 if it may. */
    val closedMs: Long get() = (closedUntilMs - clock.nowMs()).coerceAtLeast(0)

    private companion object {
        // Room for the tokens of requests that run longer than expected.
        const val MEMORY_SHARE = 0.9

        // Other hosts' requests come and go within about this time.
        const val REPORT_LIFETIME_MS = 500L

        // About the time in which one of a full server's slots becomes free.
        const val FULL_MS = 100L
    }
}
