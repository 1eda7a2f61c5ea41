package org.hyssoprack.gateway.forwarding.overload

import java.util.PriorityQueue
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random
import kotlin.random.asJavaRandom
import org.hyssoprack.common.BackendServerId
import org.hyssoprack.common.FailureDomain
import org.hyssoprack.common.ManualClock
import org.hyssoprack.common.NetworkAddress
import org.hyssoprack.common.ServiceId
import org.hyssoprack.gateway.forwarding.ServerPool
import org.hyssoprack.serving.fleet.RegisteredServer
import org.hyssoprack.serving.placement.ServerChooser
import org.hyssoprack.serving.placement.ServerState
import org.hyssoprack.serving.placement.SlotOutcome
import org.hyssoprack.serving.placement.SlotResult
import org.hyssoprack.serving.placement.WorkEstimate
import org.hyssoprack.serving.queue.QueuedRequest
import org.hyssoprack.serving.queue.RetryAfterPolicy

/**
 * Simulates callers' load on the queue and the choice of servers, with a simulated clock. Callers
 * that are rejected retry once.
 *
 * @param slowness how many times slower than an ordinary engine each server is.
 * @param reportsPace whether the servers report their pace, so that capacity is shared.
 * @param load factor for all rates at a time since the start, in milliseconds.
 */
internal class LoadSimulation(
    private val kinds: List<RequestClass>,
    slowness: List<Double>,
    private val load: (Long) -> Double,
    seed: Int,
    reportsPace: Boolean
) {
    private val random = Random(seed)
    private val clock = ManualClock(START_MS)
    private val service = ServiceId("s")
    private val domain = FailureDomain("z")

    /** Outcomes of all requests for slots. */
    val outcomes = RequestOutcomes()
    private val pool = ServerPool(
        clock = clock,
        chooser = ServerChooser(domain, random),
        observer = outcomes,
        retryAfter = RetryAfterPolicy(random)
    )
    private val events = PriorityQueue(compareBy<Event> { it.atMs }.thenBy { it.number })
    private var lastNumber = 0L
    private val engines = slowness.mapIndexed { i, x ->
        BackendServerId("b$i") to SimulatedServer(x)
    }
        .toMap()

    /** All callers' requests, with their results. */
    val calls = ArrayList<SimulatedCall>()

    private class Event(val atMs: Long, val number: Long, val action: () -> Unit)

    init {
        pool.update(engines.keys.map { registered(it) }, spec = null)
        if (reportsPace) pool.servers.forEach { it.pace.record(percent = 100) }
    }

    fun run(durationMs: Long): LoadSimulation {
        kinds.forEach { scheduleNext(it, START_MS + durationMs) }
        tick(START_MS + durationMs + DRAIN_MS)
        while (true) {
            val event = events.poll() ?: return this
            clock.advance(event.atMs - clock.nowMs())
            event.action()
        }
    }

    /** Returns the share of the requests of [kind] that were on time. */
    fun onTimeShare(kind: RequestClass): Double = share(kind) { it.isOnTime }

    /** Returns the share of the requests of [kind] with [isCounted] that were served at all. */
    fun servedShare(kind: RequestClass, isCounted: (SimulatedCall) -> Boolean = { true }): Double =
        share(kind, isCounted) { it.isServed }

    private fun share(
        kind: RequestClass,
        isCounted: (SimulatedCall) -> Boolean = { true },
        isGood: (SimulatedCall) -> Boolean
    ): Double {
        val all = calls.filter { it.kind === kind && isCounted(it) }
        return all.count(isGood).toDouble() / all.size
    }

    private fun at(atMs: Long, action: () -> Unit) {
        events += Event(atMs, lastNumber++, action)
    }

    private fun tick(untilMs: Long) {
        pool.dispatchWaiting()
        if (clock.nowMs() < untilMs) at(clock.nowMs() + TICK_MS) { tick(untilMs) }
    }

    private fun scheduleNext(kind: RequestClass, untilMs: Long) {
        val perMs = kind.perS * load(clock.nowMs() - START_MS) / MS_PER_S
        val nextMs = clock.nowMs() + (-ln(1 - random.nextDouble()) / perMs).toLong()
        if (nextMs >= untilMs) return
        at(nextMs) {
            val outputTokens = spread(kind.outputTokens)
            val call = SimulatedCall(
                kind = kind,
                arrivedMs = clock.nowMs(),
                promptTokens = spread(kind.promptTokens),
                outputTokens = outputTokens,
                hintedTokens = spread(outputTokens)
            )
            calls += call
            submit(call)
            scheduleNext(kind, untilMs)
        }
    }

    private fun submit(call: SimulatedCall) {
        call.attempts++
        val nowMs = clock.nowMs()
        val endMs = call.arrivedMs + call.kind.deadlineMs
        val request = QueuedRequest(
            service = service,
            work = WorkEstimate(promptTokens = call.promptTokens, outputTokens = call.hintedTokens),
            rank = call.kind.rank,
            arrivedMs = nowMs,
            targetMs = call.kind.targetMs,
            giveUpMs = nowMs + minOf((endMs - nowMs) / WAIT_DIVISOR, PATIENCE_MS / 2),
            endMs = endMs,
            patienceMs = PATIENCE_MS
        )
        pool.request(request) { result ->
            result.fold({ refused(call, it.retryAfterMs ?: 0) }, { granted(call, request, it) })
        }
    }

    private fun refused(call: SimulatedCall, retryAfterMs: Long) {
        val leftMs = call.arrivedMs + call.kind.deadlineMs - clock.nowMs()
        if (call.attempts > RETRIES || leftMs <= 0) return
        at(clock.nowMs() + minOf(retryAfterMs, leftMs / HONOURED_DIVISOR)) { submit(call) }
    }

    private fun granted(call: SimulatedCall, request: QueuedRequest, state: ServerState) {
        val engine = engines.getValue(state.server.id)
        val sentMs = clock.nowMs()
        val tokensAhead = state.load.promptTokens
        at(engine.firstAtMs(sentMs, call.promptTokens)) {
            val nowMs = clock.nowMs()
            call.firstMs = nowMs - call.arrivedMs
            state.recordPromptRead(request.work)
            state.speed.recordPrompt(tokensAhead, nowMs - sentMs)
            val generateMs = engine.generateMs(call.outputTokens)
            at(nowMs + generateMs) { ended(call, request, state, generateMs) }
        }
    }

    private fun ended(
        call: SimulatedCall,
        request: QueuedRequest,
        state: ServerState,
        generateMs: Long
    ) {
        state.recordEnd(request.work, promptRead = true)
        state.recordResult(SlotResult(SlotOutcome.SUCCEEDED, call.outputTokens, generateMs))
        pool.dispatchWaiting()
    }

    private fun spread(mean: Int): Int {
        val factor = exp(random.asJavaRandom().nextGaussian() * SPREAD - SPREAD * SPREAD / 2)
        return (mean * factor).toInt().coerceAtLeast(1)
    }

    private fun registered(id: BackendServerId) = RegisteredServer(
        id = id,
        service = service,
        address = NetworkAddress("10.0.0.1", 80),
        domain = domain,
        slots = SLOTS
    )

    companion object {
        const val SLOTS = 12
        private const val START_MS = 1_000_000L
        private const val DRAIN_MS = 20_000L
        private const val TICK_MS = 20L
        private const val MS_PER_S = 1_000.0
        private const val PATIENCE_MS = 3_200L
        private const val WAIT_DIVISOR = 4
        private const val RETRIES = 1
        private const val HONOURED_DIVISOR = 3
        private const val SPREAD = 0.8
    }
}
