package org.hyssoprack.gateway.forwarding.ratelimit

import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.Clock
import org.hyssoprack.common.HostId

/** A backend server in a simulation, which counts what it gets after naming a rate limit. */
internal class LimitedServer(val id: BackendServerId, private val clock: Clock) {
    /** The limit that its responses name, in requests per second; null for none. */
    var perS: Double? = null

    /** Times of all requests, by the host that sent them. */
    val arrivals = ArrayList<Arrival>()

    private var firstNamedMs: Long? = null
    private val toldMs = HashMap<HostId, Long>()

    class Arrival(val atMs: Long, val host: HostId)

    fun arrive(host: HostId) {
        arrivals += Arrival(clock.nowMs(), host)
    }

    /** Records that a response with the limit reached [host]. */
    fun named(host: HostId) {
        val nowMs = clock.nowMs()
        if (firstNamedMs == null) firstNamedMs = nowMs
        toldMs.putIfAbsent(host, nowMs)
    }

    fun arrivalsBetween(fromMs: Long, toMs: Long): Int = arrivals.count { it.atMs in fromMs..<toMs }

    /**
     * Returns the most requests that the server got in any window after it first named its limit,
     * from hosts that knew the limit by then.
     */
    fun highestCount(): Int {
        val fromMs = (firstNamedMs ?: return 0) + SETTLE_MS
        val counted = arrivals.filter { isTold(it) }
        return counted.filter { it.atMs >= fromMs }.maxOfOrNull { last ->
            counted.count { it.atMs > last.atMs - WINDOW_MS && it.atMs <= last.atMs }
        } ?: 0
    }

    private fun isTold(arrival: Arrival): Boolean =
        toldMs[arrival.host].let { it != null && arrival.atMs >= it + TOLD_MS }

    companion object {
        const val WINDOW_MS = 4_000L

        // Time after which a host that was told the limit has to keep it.
        private const val TOLD_MS = 500L

        // Time after the limit was first named from which it has to be kept.
        private const val SETTLE_MS = 3_000L

        /** Returns the number of requests that a server with the limit [perS] may get in a window. */
        fun allowedCount(perS: Double): Int = (1.5 * perS * WINDOW_MS / 1_000 + 5).toInt()
    }
}
