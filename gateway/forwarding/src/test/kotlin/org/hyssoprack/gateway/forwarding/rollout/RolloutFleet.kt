package org.hyssoprack.gateway.forwarding.rollout

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.HostId
import org.hyssoprack.common.ManualClock
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.NoOpEventLog
import org.hyssoprack.common.RouteName
import org.hyssoprack.common.ServiceId
import org.hyssoprack.rollout.RolloutBounds
import org.hyssoprack.serving.fleet.RegisteredServer
import org.hyssoprack.serving.placement.ServerState
import org.hyssoprack.serving.placement.SlotOutcome
import org.hyssoprack.serving.placement.SlotResult
import org.hyssoprack.serving.placement.WorkEstimate
import org.hyssoprack.serving.settings.ClockReading
import org.hyssoprack.store.FeedRow

/**
 * Hosts that may decide a roll-out, with one store, in virtual time.
 *
 * @param badShare share of the new version's responses that fail.
 * @param badFromMs time from the order at which it begins to fail.
 */
internal class RolloutFleet(
    seed: Long,
    private val badShare: Double,
    private val badFromMs: Long = 0
) {
    private val random = Random(seed)
    val clock = ManualClock(START_MS)
    val table = FaultyTable()
    val hosts = List(2) { Host("h$it") }
    private var exposed = 0
    private var total = 0
    private var bad = 0
    private var fiftiethBadMs: Long? = null

    /** Whether the new version got more requests than the bounds permit although it is bad. */
    var isOverExposed = false
        private set

    /** Whether a request went to the new version later than the roll-back bound permits. */
    var isLate = false
        private set

    inner class Host(name: String) {
        private val job = Job()
        private val scope = CoroutineScope(Dispatchers.Unconfined + job)
        var isDecider = false
        var isFrozen = false
        private val pending = ArrayList<Pair<Long, () -> Unit>>()
        val rollouts = Rollouts(
            self = HostId(name),
            table = table,
            rows = PlainRows,
            bounds = BOUNDS,
            isDecider = { isDecider },
            graceMs = { 3_000 },
            metrics = RolloutMetrics(SimpleMeterRegistry()),
            clock = clock,
            log = NoOpEventLog
        ).also { it.updateServers(servers) }

        fun step() {
            if (isFrozen || job.isCancelled) return
            if (clock.nowMs() % FEED_MS == 0L && !table.isAway) feed()
            if (clock.nowMs() % TICK_MS == 0L) rollouts.tick(scope)
            pending.filter { it.first <= clock.nowMs() }.also { pending -= it.toSet() }
                .forEach { it.second() }
        }

        fun feed() {
            val read = ClockReading.now(clock)
            for ((name, sink) in listOf(
                "op" to rollouts.view.orderSink,
                "status" to rollouts.view.statusSink
            )) {
                val rows = table.rows.values.filter { it.key.table == name }
                sink.replace(rows.map { FeedRow(it.key.key, it.value) })
                sink.confirm(read)
            }
        }

        /** Returns the versions that get requests, through the owner or without it. */
        fun allowed(byOwner: Boolean): Set<String?> =
            rollouts.gate.allowed(states, byOwner).mapTo(HashSet()) { it.server.version }

        fun request() {
            val server = rollouts.gate.allowed(states, byOwner = true).randomOrNull(random)?.server
                ?: return
            total++
            if (server.version == "v2") recordExposed()
            val sample = rollouts.gate.recordGrant(server, RouteName("r"), WorkEstimate())
            val isBad = server.version == "v2" &&
                clock.nowMs() - START_MS >= badFromMs &&
                random.nextDouble() < badShare
            pending += clock.nowMs() + RESPONSE_MS to {
                if (isBad && ++bad == BAD_BOUND) fiftiethBadMs = clock.nowMs()
                val outcome = if (isBad) SlotOutcome.FAILED else SlotOutcome.SUCCEEDED
                sample?.recordResult(SlotResult(outcome, callMs = RESPONSE_MS))
            }
        }

        /** Ends the host in the middle of whatever it does. */
        suspend fun kill() {
            isDecider = false
            hosts.first { it !== this }.isDecider = true
            job.cancel()
            awaitCancellation()
        }
    }

    private fun recordExposed() {
        exposed++
        val most = BOUNDS.exposeShare * total + BOUNDS.exposeSlack
        if (badShare > 0 && exposed > most) isOverExposed = true
        fiftiethBadMs?.let { if (clock.nowMs() - it > BOUNDS.rollbackMs) isLate = true }
    }

    /** Orders version v2, and plays [ms] with requests to the deciders; [event] is called each step. */
    fun play(ms: Long, event: (Long) -> Unit = {}) {
        val startMs = clock.nowMs()
        table.put(PlainRows.orderKey(SERVICE), "v2 $DURATION_MS")
        while (clock.nowMs() - startMs < ms) {
            event(clock.nowMs() - startMs)
            hosts.forEach { it.step() }
            hosts.filter { it.isDecider && !it.isFrozen }.randomOrNull(random)?.request()
            clock.advance(STEP_MS)
        }
    }

    /** State in the store; null if there is none. */
    val stored: String? get() = table.rows[
        PlainRows.statusKey(
            SERVICE
        )
    ]?.value?.substringBefore(' ')

    companion object {
        val SERVICE = ServiceId("s")
        const val DURATION_MS = 12_000L
        val BOUNDS = RolloutBounds(exposeShare = 0.1, exposeSlack = 50.0)
        private const val START_MS = 100_000L
        private const val STEP_MS = 10L
        private const val FEED_MS = 200L
        private const val TICK_MS = 150L
        private const val RESPONSE_MS = 60L
        private const val BAD_BOUND = 50
        private val servers = listOf("v1", "v2").map {
            RegisteredServer(
                id = BackendServerId(it),
                service = SERVICE,
                address = NetworkAddress("10.0.0.1", 80),
                domain = FailureDomain("z"),
                slots = 100,
                version = it
            )
        }
        private val states = servers.map { ServerState(it, ManualClock(0), null) }
    }
}
