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

    /** Cost of a prompt token until the first event, in milliseconds. */
    val prefillMs = SpeedEstimate()

    /** Time between two events of a stream, or a plain call's whole time, in milliseconds. */
    val paceMs = SpeedEstimate()

    private var own = PeerLoad()
    private var peers = PeerLoad()
    private var failuresInRow = 0
    private var lastHeardMs = clock.nowMs()
    private var oldestUnheardMs: Long? = null
    private var restUntilMs = Long.MIN_VALUE

    /** What this host has in progress there. */
    val ownLoad: PeerLoad get() = own

    /** What all hosts have in progress there, as far as known. */
    val load: PeerLoad get() = own + peers

    /** Takes over what the same run of the server says of itself now. */
    fun update(now: RegisteredServer) {
        server = now
    }

    /** Sets what the other hosts have in progress there. */
    fun setPeers(load: PeerLoad) {
        peers = load
    }

    /** Whether the server has a free slot and memory for [work]. */
    fun hasRoom(work: Work): Boolean {
        val load = load
        if (load.running >= server.slots) return false
        val memory = memoryTokens ?: return true
        return load.running == 0 || load.tokens + work.tokens <= memory * MEMORY_SHARE
    }

    /** Whether the server has failed lately or has gone silent, so that others go before it. */
    fun isSuspect(): Boolean {
        val nowMs = clock.nowMs()
        if (nowMs < restUntilMs) return true
        val waitingSince = oldestUnheardMs ?: return false
        return nowMs - maxOf(waitingSince, lastHeardMs) > SILENCE_MS
    }

    fun dispatched(work: Work) {
        own += PeerLoad(1, work.promptTokens, work.tokens)
        if (oldestUnheardMs == null) oldestUnheardMs = clock.nowMs()
    }

    /** The prompt of [work] has been read. */
    fun promptRead(work: Work) {
        own += PeerLoad(0, -work.promptTokens, 0)
    }

    /** [work] has ended; [promptRead] says whether its prompt had been read. */
    fun ended(work: Work, promptRead: Boolean) {
        val unread = if (promptRead) 0 else work.promptTokens
        own += PeerLoad(-1, -unread, -work.tokens)
        if (own.running == 0) oldestUnheardMs = null
    }

    /** Bytes have arrived from the server. */
    fun heard() {
        lastHeardMs = clock.nowMs()
    }

    fun succeeded() {
        failuresInRow = 0
        restUntilMs = Long.MIN_VALUE
    }

    /** A call failed; the server rests longer with each failure in a row. */
    fun failed() {
        failuresInRow++
        val restMs = (REST_MS shl minOf(failuresInRow - 1, MAX_REST_DOUBLINGS))
        if (failuresInRow >= FAILURES_BEFORE_REST) restUntilMs = clock.nowMs() + restMs
    }

    /** The server cannot be reached; it rests at once. */
    fun unreachable() {
        failuresInRow = maxOf(failuresInRow, FAILURES_BEFORE_REST - 1)
        failed()
    }

    private companion object {
        // Room for the tokens of requests that run longer than expected.
        const val MEMORY_SHARE = 0.9

        // Longer than any pause between events of a healthy server; well below the two seconds
        // after which callers give up a silent stream.
        const val SILENCE_MS = 700L

        // A server with occasional failures keeps its traffic.
        const val FAILURES_BEFORE_REST = 3
        const val REST_MS = 250L
        const val MAX_REST_DOUBLINGS = 3
    }
}
