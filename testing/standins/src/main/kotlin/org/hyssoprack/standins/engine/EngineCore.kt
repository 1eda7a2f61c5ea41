package org.hyssoprack.standins.engine

import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.hyssoprack.backend.CacheEvent
import org.hyssoprack.backend.CompletionBody
import org.hyssoprack.backend.EngineOrder
import org.hyssoprack.backend.EngineStatus
import org.hyssoprack.backend.LoadReport
import org.hyssoprack.backend.PrefixHash
import org.hyssoprack.common.Clock
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.FencingNumber
import org.hyssoprack.common.SystemClock
import org.hyssoprack.standins.common.LoadHistory

/**
 * The emulated engine: a queue without priorities, a running batch that advances in steps, and a
 * prefix cache. A step gives one token to every decoding request and processes a chunk of prompts.
 */
internal class EngineCore(
    private val settings: EngineSettings,
    log: EventLog,
    private val clock: Clock = SystemClock
) {
    private val confined = Dispatchers.Default.limitedParallelism(1)
    private val wakeUp = Channel<Unit>(Channel.CONFLATED)
    private val runs = RunTable(clock = clock, graceMs = settings.graceMs)
    private val runLog = RunLog(log = log, clock = clock)
    private val batch = Batch(settings)
    private val cache = PrefixCache(settings.cacheTokens)
    private val cacheEvents = CacheEventFeed(
        clock = clock,
        lagMs = settings.eventLagMs,
        loss = settings.eventLoss,
        random = Random(settings.seed)
    )
    private val loads = LoadHistory(clock = clock, lagMs = settings.reportLagMs)
    private var status =
        EngineStatus(fencing = FencingNumber(0), model = settings.model, version = "1")

    /** Faults in force; set by tests. */
    @Volatile
    var faults = EngineFaults()

    /** Starts the engine's steps in [scope]. */
    fun start(scope: CoroutineScope) {
        scope.launch(confined) { stepForever() }
        scope.launch(confined) { sweepForever() }
    }

    /** Puts a request into the queue. */
    suspend fun submit(id: String, body: CompletionBody): EngineRun = withContext(confined) {
        val run = EngineRun(
            id = id,
            marker = TokenText.marker(id = id, body = body),
            promptTokens = body.promptTokens,
            maxTokens = body.maxTokens ?: DEFAULT_MAX_TOKENS,
            arrivedAtMs = clock.nowMs(),
            prefixHash = PrefixHash.of(body.prompt),
            cacheKeys = cache.keys(body.prompt)
        )
        enqueue(run)
        run
    }

    /** Takes over a request of another engine; it stays suspended until resumed. */
    suspend fun import(export: KvExport): EngineRun = withContext(confined) {
        val run = EngineRun(
            id = export.id,
            marker = export.marker,
            promptTokens = export.promptTokens,
            maxTokens = export.maxTokens,
            arrivedAtMs = clock.nowMs(),
            prefilledTokens = export.promptTokens,
            produced = export.produced,
            state = RunState.SUSPENDED
        )
        runs.add(run)
        runs.detach(run)
        run
    }

    /** The request with this id, if it is known still; counts a stream as attached to it. */
    suspend fun attach(id: String): EngineRun? = withContext(confined) { runs.attach(id) }

    /** Notes that a stream of [run] is gone. Without another one the request is cancelled soon. */
    suspend fun detach(run: EngineRun) = withContext(confined) { runs.detach(run) }

    /** Cancels a request. False if it is not known. */
    suspend fun cancel(id: String): Boolean = withContext(confined) {
        val run = runs.find(id) ?: return@withContext false
        end(run, EndReason.CANCELLED)
        true
    }

    /** Suspends a running request. False if it is not running or the engine cannot. */
    suspend fun suspendRun(id: String): Boolean = withContext(confined) {
        val run = runs.find(id)
        if (run == null || !settings.canSuspend) return@withContext false
        if (run.state == RunState.SUSPENDED) return@withContext true
        if (run.state != RunState.DECODE) return@withContext false
        batch.suspend(run)
        runLog.suspended(run)
        changed()
        true
    }

    /** Resumes a suspended request, or does nothing if it runs. False if it has ended. */
    suspend fun resume(id: String): Boolean = withContext(confined) {
        val run = runs.find(id)
        if (run == null || run.state == RunState.ENDED) return@withContext false
        if (run.state == RunState.SUSPENDED) {
            batch.resume(run)
            runLog.resumed(run)
            changed()
        }
        true
    }

    /** Ends a request here and returns its state for another engine; null if it does not decode. */
    suspend fun export(id: String): KvExport? = withContext(confined) {
        val run = runs.find(id) ?: return@withContext null
        if (run.state != RunState.DECODE && run.state != RunState.SUSPENDED) {
            return@withContext null
        }
        end(run, EndReason.EXPORTED)
        KvExport(
            id = run.id,
            marker = run.marker,
            promptTokens = run.promptTokens,
            maxTokens = run.maxTokens,
            produced = run.produced
        )
    }

    /** The load as it was one lag ago. */
    suspend fun load(): LoadReport = withContext(confined) { loads.report(faults.leaving) }

    /** Published cache events after [sequence]. */
    suspend fun cacheEvents(sequence: Long): List<CacheEvent> =
        withContext(confined) { cacheEvents.after(sequence) }

    /** Takes an order; null if its fencing number is old and the engine checks it. */
    suspend fun order(order: EngineOrder): EngineStatus? = withContext(confined) {
        if (settings.checksFencing && order.fencing < status.fencing) return@withContext null
        status = EngineStatus(
            fencing = order.fencing,
            model = order.model,
            version = order.version,
            adapters = order.adapters,
            role = order.role
        )
        runLog.ordered(status)
        status
    }

    /** What the engine has loaded. */
    suspend fun status(): EngineStatus = withContext(confined) { status }

    private fun enqueue(run: EngineRun) {
        runs.add(run)
        runLog.accepted(run, leaving = faults.leaving)
        batch.enqueue(run)
        changed()
    }

    private fun changed() {
        loads.record(running = batch.running, queued = batch.queued)
        wakeUp.trySend(Unit)
    }

    private fun end(run: EngineRun, reason: EndReason) {
        if (run.state == RunState.ENDED) return
        batch.remove(run)
        run.end(reason)
        run.endedAtMs = clock.nowMs()
        runLog.ended(run, reason)
        changed()
    }

    private suspend fun stepForever() {
        var dueNs = System.nanoTime()
        while (true) {
            batch.admit().forEach(::begin)
            val step = batch.plan()
            if (step.isEmpty) {
                wakeUp.receive()
                dueNs = System.nanoTime()
                continue
            }
            loads.record(running = batch.running, queued = batch.queued)
            dueNs = maxOf(dueNs, System.nanoTime() - MAX_BEHIND_NS)
            dueNs += (step.durationMs * faults.slowdown * NS_PER_MS).toLong()
            delay(maxOf(0, (dueNs - System.nanoTime()) / NS_PER_MS))
            finish(step)
        }
    }

    private fun begin(run: EngineRun) {
        if (run.prefilledTokens > 0) {
            run.enter(RunState.DECODE)
            return
        }
        run.cachedTokens = minOf(cache.cachedTokens(run.cacheKeys), run.promptTokens - 1)
        run.enter(RunState.PREFILL)
        runLog.began(run)
    }

    private fun finish(step: Step) {
        step.prefills.forEach { it.run.prefilledTokens += it.tokens }
        val filled = step.prefills.map { it.run }
            .filter { it.state == RunState.PREFILL && it.prefillLeft == 0 }
        filled.forEach { cacheEvents.record(cache.store(it.cacheKeys, it.prefixHash)) }
        val decoded = step.decodes.filter { it.state == RunState.DECODE }
        (filled + decoded).forEach(::produce)
    }

    private fun produce(run: EngineRun) {
        run.produce()
        if (run.produced == 1) runLog.firstToken(run)
        if (run.produced >= run.maxTokens) end(run, EndReason.DONE)
    }

    private suspend fun sweepForever() {
        while (true) {
            delay(SWEEP_MS)
            runs.abandoned().forEach { end(it, EndReason.CONNECTION_LOST) }
            runs.forgetOld()
            loads.record(running = batch.running, queued = batch.queued)
        }
    }

    private companion object {
        const val DEFAULT_MAX_TOKENS = 16
        const val SWEEP_MS = 100L
        const val NS_PER_MS = 1_000_000L
        const val MAX_BEHIND_NS = 100 * NS_PER_MS
    }
}
