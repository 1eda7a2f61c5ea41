package org.hyssoprack.gateway.forwarding.parts

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import kotlin.math.ln
import kotlin.random.Random
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.gateway.CallerRequest
import org.hyssoprack.gateway.forwarding.failover.PlainWireFormat
import org.hyssoprack.gateway.forwarding.failover.RecordedResponse
import org.hyssoprack.gateway.forwarding.failover.ScriptedServers
import org.hyssoprack.gateway.forwarding.ratelimit.SimulatedFleet
import org.hyssoprack.gateway.forwarding.ratelimit.SimulatedHost
import org.hyssoprack.gateway.forwarding.slots.SlotMessage
import org.hyssoprack.serving.settings.ClockReading
import org.hyssoprack.serving.settings.RouteKind

/**
 * Hosts that forward requests with parts of prompts to servers which crash on some parts. All
 * prompts begin with the same part.
 *
 * @param deadlyGapMs time between requests with the deadly part, in milliseconds.
 * @param isRepeating whether callers of requests with the deadly part come back at once.
 * @param isSameRequest whether all requests with the deadly part are the same one.
 */
internal class PartFleet(
    seed: Int,
    private val deadlyGapMs: Long,
    private val isRepeating: Boolean = false,
    private val isSameRequest: Boolean = false,
    transform: (SlotMessage) -> SlotMessage? = { it }
) : SimulatedFleet(Random(seed), HOSTS, transform = transform) {
    private val connections = ScriptedServers(scope, clock)
    private val backends = List(SERVERS) {
        CrashingBackend(NetworkAddress("10.0.0.2", FIRST_PORT + it))
    }
    private val forwarding = hosts.map { ForwardingHost(it, clock, service, connections) }
    private val jobs = HashMap<ForwardingHost, MutableList<Job>>()
    private var sent = 0
    private var nextHost = 0

    /** Whether the deadly requests crash servers that begin to answer. */
    var isDeadly = false

    /** Times of the crashes. */
    val crashesMs = ArrayList<Long>()

    /** Times at which requests with the deadly part reached servers. */
    val deadlyMs = ArrayList<Long>()

    /** Sound requests of callers whose host was not killed. */
    val sound = ArrayList<RecordedResponse>()

    /** Requests with the deadly part. */
    val deadly = ArrayList<RecordedResponse>()

    init {
        backends.forEach { backend -> connections.script(backend.address) { serve(backend, it) } }
        register()
        scope.launch { sendSound() }
    }

    /** Number of hosts on which a part that requests share is blocked. */
    val blockingHosts: Int get() = running().count { registryOf(it.host).blockedCount > 0 }

    /** Number of hosts on which a request is blocked. */
    val requestBlockingHosts: Int
        get() = running().count { registryOf(it.host).blockedRequestCount > 0 }

    /** Deadly requests that reached servers [CONTACT_MS] after the crash with the number [crash]. */
    fun sentAfter(crash: Int): Int {
        val crashMs = crashesMs.getOrNull(crash - 1) ?: return 0
        return deadlyMs.count { it > crashMs + CONTACT_MS }
    }

    /** Share of the sound requests that were answered whole. */
    val servedShare: Double
        get() = sound.count { it.isComplete && it.status == OK }.toDouble() / sound.size

    /** Sends requests with the deadly part for [ms] milliseconds, to one host after another. */
    fun sendDeadly(ms: Long, kind: RouteKind = RouteKind.RESUMABLE_STREAM) {
        repeat((ms / deadlyGapMs).toInt()) {
            val hosts = running()
            deadly(hosts[nextHost++ % hosts.size], kind)
            advance(deadlyGapMs)
        }
    }

    fun kill(host: SimulatedHost) {
        val killed = forwarding.first { it.host === host }
        host.isCutOff = true
        killed.isKilled = true
        jobs[killed].orEmpty().forEach { it.cancel() }
    }

    fun registryOf(host: SimulatedHost) = host.pools.parts.registry

    private fun running() = forwarding.filter { !it.isKilled }

    private fun register() {
        val servers = backends.map { it.registered(service) }
        hosts.forEach { it.pools.updateServers(servers) }
    }

    private suspend fun sendSound() {
        while (true) {
            delay((-ln(1 - random.nextDouble()) / SOUND_PER_S * MS_PER_S).toLong())
            val host = running().random(random)
            val kind = SOUND_KINDS.random(random)
            val response = RecordedResponse()
            sound += response
            val parts = "$FIRST,$MIDDLE${random.nextInt(MIDDLE_PARTS)}"
            val job = send(host, kind, parts, body = "sound-$sent", response)
            job.invokeOnCompletion { if (host.isKilled) sound -= response }
        }
    }

    private fun deadly(
        host: ForwardingHost,
        kind: RouteKind,
        repeats: Int = REPEATS,
        body: String = if (isSameRequest) DEADLY else "deadly-$sent"
    ) {
        val response = RecordedResponse()
        deadly += response
        val parts = if (isSameRequest) "$FIRST,${MIDDLE}0" else "$FIRST,$DEADLY"
        val job = send(host, kind, parts, body, response)
        if (!isRepeating || repeats == 0) return
        scope.launch {
            job.join()
            delay(REPEAT_MS)
            if (response.status != OK) deadly(running().random(random), kind, repeats - 1, body)
        }
    }

    private fun send(
        host: ForwardingHost,
        kind: RouteKind,
        parts: String,
        body: String,
        response: RecordedResponse
    ): Job {
        val headers = DefaultHttpHeaders()
            .set(ScriptedServers.REQUEST_ID, "$body-${sent++}")
            .set(PlainWireFormat.KEY, ForwardingHost.KEY)
            .set(PlainWireFormat.PARTS, parts)
        val request = CallerRequest(
            method = HttpMethod.POST,
            uri = "/${kind.name}/x",
            headers = headers,
            body = body.encodeToByteArray(),
            arrived = ClockReading.now(clock)
        )
        return scope.launch { host.forwarder.handle(request, response) }
            .also { jobs.getOrPut(host) { ArrayList() } += it }
    }

    private suspend fun serve(backend: CrashingBackend, response: ScriptedServers.Response) {
        val isOfDeadly = response.requestId.startsWith(DEADLY)
        if (isOfDeadly) deadlyMs += clock.nowMs()
        backend.began(response)
        delay(random.nextLong(MIN_BEGIN_MS, MAX_BEGIN_MS))
        if (!backend.isServing(response)) return
        if (isOfDeadly && isDeadly) return crash(backend)
        response.head()
        for (id in response.from + 1..EVENTS) {
            if (!backend.isServing(response)) return
            response.event(id)
            delay(EVENT_MS)
        }
        if (!backend.isServing(response)) return
        backend.ended(response)
        response.end()
    }

    private fun crash(backend: CrashingBackend) {
        crashesMs += clock.nowMs()
        connections.down += backend.address
        backend.crash()
        scope.launch {
            delay(RESTART_MS)
            connections.down -= backend.address
            register()
        }
    }

    companion object {
        const val HOSTS = 5
        const val CONTACT_MS = 3_000L
        private const val DEADLY = "deadly"
        private const val FIRST = "first"
        private const val MIDDLE = "middle-"
        private const val SERVERS = 13
        private const val FIRST_PORT = 8_000
        private const val SOUND_PER_S = 40.0
        private const val MS_PER_S = 1_000.0
        private const val MIDDLE_PARTS = 4
        private const val MIN_BEGIN_MS = 60L
        private const val MAX_BEGIN_MS = 250L
        private const val EVENTS = 4
        private const val EVENT_MS = 40L
        private const val RESTART_MS = 2_000L
        private const val REPEATS = 10
        private const val REPEAT_MS = 20L
        private const val OK = 200
        private val SOUND_KINDS = listOf(RouteKind.RESUMABLE_STREAM, RouteKind.SAFE)
    }
}
