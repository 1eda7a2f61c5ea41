package org.hyssoprack.gateway.forwarding.failover

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import kotlin.random.Random
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.BundleVersion
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.Incarnation
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.NoOpEventLog
import org.hyssoprack.common.RouteName
import org.hyssoprack.common.ServiceId
import org.hyssoprack.gateway.CallerRequest
import org.hyssoprack.gateway.forwarding.RequestAdmission
import org.hyssoprack.gateway.forwarding.RequestForwarder
import org.hyssoprack.gateway.forwarding.RequestTelemetry
import org.hyssoprack.gateway.forwarding.ServerPools
import org.hyssoprack.gateway.forwarding.ratelimit.SimulatedTime
import org.hyssoprack.gateway.forwarding.slots.SlotClient
import org.hyssoprack.serving.fleet.RegisteredServer
import org.hyssoprack.serving.limits.LocalQuota
import org.hyssoprack.serving.limits.RetryBudget
import org.hyssoprack.serving.placement.ServerChooser
import org.hyssoprack.serving.placement.WorkEstimate
import org.hyssoprack.serving.settings.Account
import org.hyssoprack.serving.settings.ActiveSettings
import org.hyssoprack.serving.settings.ClockReading
import org.hyssoprack.serving.settings.Route
import org.hyssoprack.serving.settings.RouteKind
import org.hyssoprack.serving.settings.ServiceShare
import org.hyssoprack.serving.settings.ServingSettings

/**
 * A host without a slot owner that forwards requests to scripted servers with one slot each, in
 * virtual time.
 *
 * @param retries number of retries that the host's budget allows.
 */
internal class ForwardingFixture(private val test: TestScope, serverCount: Int, retries: Int = 10) {
    private val clock = SimulatedTime(test.testScheduler)
    private val service = ServiceId("s")
    private val addresses = List(serverCount) { NetworkAddress("127.0.0.1", FIRST_PORT + it) }
    private val pools = ServerPools(clock, ServerChooser(FailureDomain("z"), Random(1)))
    private var lastRequest = 0
    private var maxAgeMs = Long.MAX_VALUE
    private val settings = ActiveSettings(clock, maxAgeMs = { maxAgeMs })
    private val slots = SlotClient(
        self = HostRef(HostId("h"), Incarnation(1)),
        domain = FailureDomain("z"),
        pools = pools,
        quota = LocalQuota(clock, WINDOW_MS) { 1 },
        currentOwner = { null },
        markUnavailable = {},
        clock = clock,
        log = NoOpEventLog,
        send = { _, _ -> }
    )
    val servers = ScriptedServers(test.backgroundScope, clock)
    private val forwarder = RequestForwarder(
        wire = PlainWireFormat,
        connections = servers,
        admission = RequestAdmission(settings),
        pools = pools,
        slots = slots,
        retryBudget = RetryBudget(
            clock = clock,
            ratio = { 0.0 },
            slack = { retries / BUDGET_SAFETY },
            windowMs = WINDOW_MS,
            hostCount = { 1 }
        ),
        telemetry = RequestTelemetry(NoOpEventLog, SimpleMeterRegistry(), settings, clock),
        clock = clock,
        log = NoOpEventLog
    )

    /** What this host knows of parts that crash servers. */
    val parts get() = pools.parts.registry

    /** Number of slots in use. */
    val usedSlots: Int get() = pools[service].servers.sumOf { it.load.running }

    /** Number of requests that wait for a slot. */
    val queueLength: Int get() = pools[service].queueLength

    /** Current time, in milliseconds. */
    val nowMs: Long get() = clock.nowMs()

    init {
        pools.updateServers(addresses.mapIndexed(::registered))
        accept(version = 1)
        test.backgroundScope.launch {
            while (true) {
                pools.tick()
                delay(TICK_MS)
            }
        }
    }

    /**
     * Puts settings in force; callers' keys are valid in them if [isKeyKnown], and there are no
     * routes unless [hasRoutes].
     */
    fun accept(
        version: Long,
        isKeyKnown: Boolean = true,
        hasRoutes: Boolean = true,
        service: String = "s"
    ) {
        val accounts = if (isKeyKnown) mapOf(KEY to Account(ClientAccount("a"))) else emptyMap()
        val routes = RouteKind.entries.filter { hasRoutes }.map {
            Route(
                name = RouteName(it.name),
                host = "h",
                prefix = "/${it.name}/",
                kind = it,
                shares = listOf(ServiceShare(ServiceId(service), weight = 1)),
                timeoutMs = TIMEOUT_MS,
                targetMs = TARGET_MS,
                pauseMs = TARGET_MS,
                maxAttempts = 2
            )
        }
        settings.accept(
            ServingSettings(BundleVersion(version), routes, emptyList(), accounts = accounts)
        )
        settings.confirm(ClockReading.now(clock))
    }

    /** Makes the settings too old to run requests with keys. */
    fun expireSettings() {
        maxAgeMs = 0
        accept(version = 2)
    }

    /** Scripts the server [index]. */
    fun script(index: Int, respond: suspend (ScriptedServers.Response) -> Unit) =
        servers.script(addresses[index], respond)

    /** Scripts all servers alike; the script gets the number of the exchange, from 0. */
    fun scriptAll(respond: suspend (Int, ScriptedServers.Response) -> Unit) = addresses.forEach {
        servers.script(it) { response -> respond(servers.exchanges.lastIndex, response) }
    }

    /** Takes the slots of all servers that have a free one, for [forMs]. */
    fun occupyFreeSlots(forMs: Long) {
        val taken = pools[service].servers.filter { it.isOpen }
        taken.forEach { it.recordDispatch(WorkEstimate()) }
        test.backgroundScope.launch {
            delay(forMs)
            taken.forEach { it.recordEnd(WorkEstimate(), promptRead = false) }
        }
    }

    /** Takes each slot that becomes free within [forMs], until then. */
    fun occupyOnRelease(forMs: Long) {
        val endMs = nowMs + forMs
        test.backgroundScope.launch {
            while (nowMs < endMs) {
                if (usedSlots < pools[service].servers.size) occupyFreeSlots(forMs = endMs - nowMs)
                delay(1)
            }
        }
    }

    /**
     * Sends a request with [sharedParts] in its prompt. Returns its response, which is in progress,
     * and the job that serves it.
     */
    fun send(kind: RouteKind, vararg sharedParts: String): Pair<RecordedResponse, Job> {
        val headers = DefaultHttpHeaders()
            .set(ScriptedServers.REQUEST_ID, "r${lastRequest++}")
            .set(PlainWireFormat.KEY, KEY)
            .set(PlainWireFormat.PARTS, sharedParts.joinToString(","))
        val request = CallerRequest(
            method = HttpMethod.POST,
            uri = "/${kind.name}/x",
            headers = headers,
            body = ByteArray(0),
            arrived = ClockReading.now(clock)
        )
        val response = RecordedResponse()
        return response to test.backgroundScope.launch { forwarder.handle(request, response) }
    }

    private fun registered(index: Int, address: NetworkAddress) = RegisteredServer(
        id = BackendServerId("b$index"),
        service = service,
        address = address,
        domain = FailureDomain("z"),
        slots = 1
    )

    companion object {
        const val TIMEOUT_MS = 12_000L
        private const val KEY = "k"
        private const val FIRST_PORT = 9_000
        const val WINDOW_MS = 10_000L
        private const val TARGET_MS = 400L
        private const val TICK_MS = 20L

        // Share of the budget that RetryBudget leaves unused.
        private const val BUDGET_SAFETY = 0.75
    }
}
