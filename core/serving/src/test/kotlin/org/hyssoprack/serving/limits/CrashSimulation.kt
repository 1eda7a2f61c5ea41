package org.hyssoprack.serving.limits

import java.util.PriorityQueue
import kotlin.random.Random
import org.hyssoprack.common.ManualClock
import org.hyssoprack.serving.fleet.ServerInstance

/**
 * Requests of five hosts to 13 servers that crash and reset connections for other reasons, and with
 * one middle part, or one request that comes again and again, that crashes each server that begins
 * to answer it.
 *
 * @param deadlyGapMs time between requests with that part; null for none.
 * @param deadlyAttempts number of servers that each of these requests is sent to at most.
 * @param deadlyStartMs time before the first of these requests, in milliseconds.
 * @param repeatGapMs time between repeats of the deadly request; null for none.
 */
internal class CrashSimulation(
    private val random: Random,
    private val deadlyGapMs: Long? = null,
    private val deadlyAttempts: Int = 1,
    private val deadlyStartMs: Long = 0,
    private val repeatGapMs: Long? = null
) {
    private class Request(val parts: List<String>, val host: Int, val attempt: Int) {
        val hasDeadlyPart: Boolean get() = DEADLY_PART in parts
        val isRepeat: Boolean get() = REPEATED in parts
        val isSound: Boolean get() = !hasDeadlyPart && !isRepeat
    }

    private class Server(var instance: ServerInstance, var isUp: Boolean = true) {
        val waiting = LinkedHashSet<Request>()
    }

    private class Event(val atMs: Long, val order: Int, val run: () -> Unit)

    private val clock = ManualClock(0)
    private val fleet = CrashingPartFleet(clock, HOSTS)
    private val servers = List(SERVERS) { Server(fleet.newServer()) }
    private val events = PriorityQueue(compareBy<Event>({ it.atMs }, { it.order }))
    private var order = 0

    /** Sound parts that were blocked at any host. */
    val soundBlocked = HashSet<String>()

    /** Number of servers that the deadly part ended before or without a trial. */
    var ended = 0
        private set

    /** Number of requests with the deadly part that were sent after its block, and of trials. */
    var sentAfterBlock = 0
        private set

    /** Number of requests with the deadly part that reached servers later than 3 s after the fifth server ended. */
    var sentAfterFifth = 0
        private set

    /** Number of repeats of the deadly request that reached servers later than 3 s after it ended the third. */
    var repeatsAfterThird = 0
        private set

    /** Number of servers that the deadly request ended. */
    var endedByRepeats = 0
        private set

    val isBlocked: Boolean get() = blockedMs != null
    private var thirdMs: Long? = null
    private var ownParts = 0
    private var fifthMs: Long? = null
    private var allEnded = 0
    private var blockedMs: Long? = null
    private val trials = HashSet<Request>()

    fun run(durationMs: Long) {
        every(REQUESTS_PER_S) { send(Request(soundParts() + ownPart(), random.nextInt(HOSTS), 1)) }
        every(CRASHES_PER_S) { end(servers.random(random)) }
        every(MASS_CRASHES_PER_S) { servers.shuffled(random).take(8).forEach { end(it) } }
        every(RESETS_PER_S) { reset(servers.random(random)) }
        if (deadlyGapMs != null) after(deadlyStartMs) { sendDeadly(deadlyGapMs) }
        if (repeatGapMs != null) sendRepeats(repeatGapMs)
        while (clock.nowMs() < durationMs) {
            val event = events.poll()
            while (clock.nowMs() < event.atMs) {
                fleet.advance(minOf(MAX_STEP_MS, event.atMs - clock.nowMs()))
            }
            event.run()
        }
    }

    private fun sendDeadly(gapMs: Long): Unit = after(gapMs) {
        send(Request(listOf("first", DEADLY_PART, ownPart()), random.nextInt(HOSTS), 1))
        sendDeadly(gapMs)
    }

    private fun sendRepeats(gapMs: Long): Unit = after(gapMs) {
        send(Request(listOf("first", "middle-0", REPEATED), random.nextInt(HOSTS), 1))
        sendRepeats(gapMs)
    }

    private fun ownPart() = "request:${ownParts++}"

    private fun every(perS: Double, action: () -> Unit) {
        val gapMs = (-Math.log(1 - random.nextDouble()) * 1_000 / perS).toLong()
        after(gapMs) {
            action()
            every(perS, action)
        }
    }

    private fun after(ms: Long, action: () -> Unit) {
        events += Event(clock.nowMs() + ms, order++, action)
    }

    private fun soundParts(): List<String> {
        val middle = if (random.nextInt(RARE_ONE_IN) == 0) "middle-4" else "middle-${order % 4}"
        return listOf("first", middle)
    }

    private fun send(request: Request) {
        val verdict = fleet.verdict(*request.parts.toTypedArray(), host = request.host)
        if (verdict != PartVerdict.Allowed && request.isSound) {
            soundBlocked += verdict.toString()
        }
        val isTrial = verdict is PartVerdict.TrialDue
        val wasBlocked = verdict != PartVerdict.Allowed
        if (!fleet.send(*request.parts.toTypedArray(), host = request.host)) {
            if (blockedMs == null && request.hasDeadlyPart) blockedMs = clock.nowMs()
            return
        }
        if (isTrial) trials += request
        if (request.hasDeadlyPart && (wasBlocked || blockedMs != null)) sentAfterBlock++
        val server = servers.filter { it.isUp }.randomOrNull(random) ?: return
        if (request.hasDeadlyPart && isLaterThan(fifthMs)) sentAfterFifth++
        if (request.isRepeat && isLaterThan(thirdMs)) repeatsAfterThird++
        server.waiting += request
        after(random.nextLong(MIN_BEGIN_MS, MAX_BEGIN_MS)) { begin(server, request) }
    }

    private fun isLaterThan(crashMs: Long?): Boolean =
        crashMs != null && clock.nowMs() > crashMs + MARGIN_MS

    private fun begin(server: Server, request: Request) {
        if (request !in server.waiting) return
        if (request.isRepeat) {
            if (++endedByRepeats == 3) thirdMs = clock.nowMs()
            return end(server)
        }
        if (request.hasDeadlyPart) {
            if (request !in trials) ended++
            if (++allEnded == 5) fifthMs = clock.nowMs()
            return end(server)
        }
        server.waiting -= request
        fleet.begin(*request.parts.toTypedArray(), host = request.host)
    }

    private fun end(server: Server) {
        if (!server.isUp) return
        server.isUp = false
        server.waiting.toList().forEach { breakOff(server, it) }
        after(RESTART_MS) {
            server.instance = fleet.newServer()
            server.isUp = true
        }
    }

    private fun reset(server: Server) {
        server.waiting.randomOrNull(random)?.let { breakOff(server, it) }
    }

    private fun breakOff(server: Server, request: Request) {
        server.waiting -= request
        val instance = server.instance
        after(random.nextLong(MAX_BREAK_MS)) {
            fleet.crash(instance, listOf(request.host to request.parts))
            val attempts = if (request.hasDeadlyPart) deadlyAttempts else MAX_ATTEMPTS
            if (request.attempt < attempts) {
                send(Request(request.parts, request.host, request.attempt + 1))
            }
        }
    }

    private companion object {
        const val DEADLY_PART = "deadly"
        const val REPEATED = "request:repeated"
        const val HOSTS = 5
        const val SERVERS = 13
        const val REQUESTS_PER_S = 60.0
        const val RARE_ONE_IN = 300
        const val CRASHES_PER_S = 0.05
        const val MASS_CRASHES_PER_S = 0.005
        const val RESETS_PER_S = 0.2
        const val MIN_BEGIN_MS = 100L
        const val MAX_BEGIN_MS = 400L
        const val MAX_BREAK_MS = 8L
        const val RESTART_MS = 15_000L
        const val MAX_STEP_MS = 100L
        const val MARGIN_MS = 3_000L
        const val MAX_ATTEMPTS = 3
    }
}
