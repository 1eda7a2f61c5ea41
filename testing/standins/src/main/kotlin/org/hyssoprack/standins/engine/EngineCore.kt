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
 * The emulated engine: a FIFO queue, a running batch that advances in steps, and a prefix cache. A
 * step generates one token for every decoding request and processes a chunk of prompt tokens.
 */
internal class EngineCore(
    private val settings: EngineSettings,
    log: EventLog,
    private val clock: Clock = SystemClock
) {
    private val dispatcher = Dispatchers.Default.limitedParallelism(1)
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
    private val loadHistory = LoadHistory(clock = clock, lagMs = settings.reportLagMs)
    private var status =
        EngineStatus(fencing = FencingNumber(0), model = settings.model, version = "1")

    /** The current faults, set by tests. */
    @Volatile
    var faults = EngineFaults()

    /** Starts the step loop and the cleanup loop in [scope]. */
    fun start(scope: CoroutineScope) {
        scope.launch(dispatcher) { runSteps() }
        scope.launch(dispatcher) { runSweeps() }
    }

    /** Queues a request. */
    suspend fun submit(id: String, body: CompletionBody): EngineRun = withContext(dispatcher) {
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

    /** Imports a request from another engine; it stays suspended until it is resumed. */
    suspend fun import(export: KvExport): EngineRun = withContext(dispatcher) {
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

    /** Attaches a stream to the request with this id and returns it; null if it is unknown. */
    suspend fun attach(id: String): EngineRun? = withContext(dispatcher) { runs.attach(id) }

    /** Detaches a stream. A run without streams is cancelled after [EngineSettings.graceMs]. */
    suspend fun detach(run: EngineRun) = withContext(dispatcher) { runs.detach(run) }

    /** Cancels a request. Returns false if it is unknown. */
    suspend fun cancel(id: String): Boolean = withContext(dispatcher) {
        val run = runs.find(id) ?: return@withContext false
        end(run, EndReason.CANCELLED)
        true
    }

    /**
     * Suspends a decoding request; does nothing if it is suspended already. Returns false in any
     * other state and if [EngineSettings.canSuspend] is not set.
     */
    suspend fun suspendRun(id: String): Boolean = withContext(dispatcher) {
        val run = runs.find(id)
        if (run == null || !settings.canSuspend) return@withContext false
        if (run.state == RunState.SUSPENDED) return@withContext true
        if (run.state != RunState.DECODE) return@withContext false
        batch.suspend(run)
        runLog.suspended(run)
        onBatchChanged()
        true
    }

    /** Resumes a request; no effect if it is not suspended. Returns false if ended or unknown. */
    suspend fun resume(id: String): Boolean = withContext(dispatcher) {
        val run = runs.find(id)
        if (run == null || run.state == RunState.ENDED) return@withContext false
        if (run.state == RunState.SUSPENDED) {
            batch.resume(run)
            runLog.resumed(run)
            onBatchChanged()
        }
        true
    }

    /**
     * Ends a request and returns its state for another engine. Returns null, without ending it, if
     * the request is neither decoding nor suspended.
     */
    suspend fun export(id: String): KvExport? = withContext(dispatcher) {
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

    /** Returns the load as it was [EngineSettings.reportLagMs] ago. */
    suspend fun load(): LoadReport = withContext(dispatcher) { loadHistory.report(faults.leaving) }

    /** Returns the published cache events after [sequence]. */
    suspend fun cacheEvents(sequence: Long): List<CacheEvent> =
        withContext(dispatcher) { cacheEvents.after(sequence) }

    /** Applies an order; returns null if fencing is checked and the fencing number is outdated. */
    suspend fun order(order: EngineOrder): EngineStatus? = withContext(dispatcher) {
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

    /** Returns the model, adapters and role that the engine serves. */
    suspend fun status(): EngineStatus = withContext(dispatcher) { status }

    private fun enqueue(run: EngineRun) {
        runs.add(run)
        runLog.accepted(run, leaving = faults.leaving)
        batch.enqueue(run)
        onBatchChanged()
    }

    private fun onBatchChanged() {
        loadHistory.record(running = batch.running, queued = batch.queued)
        wakeUp.trySend(Unit)
    }

    private fun end(run: EngineRun, reason: EndReason) {
        if (run.state == RunState.ENDED) return
        batch.remove(run)
        run.end(reason)
        run.endedAtMs = clock.nowMs()
        runLog.ended(run, reason)
        onBatchChanged()
    }

    private suspend fun runSteps() {
        var dueNs = System.nanoTime()
        while (true) {
            batch.admit().forEach(::begin)
            val step = batch.plan()
            if (step.isEmpty) {
                wakeUp.receive()
                dueNs = System.nanoTime()
                continue
            }
            loadHistory.record(running = batch.running, queued = batch.queued)
            dueNs = maxOf(dueNs, System.nanoTime() - MAX_LAG_NS)
            dueNs += (step.durationMs * faults.slowdown * NS_PER_MS).toLong()
            delay(maxOf(0, (dueNs - System.nanoTime()) / NS_PER_MS))
            finish(step)
        }
    }

    private fun begin(run: EngineRun) {
        if (run.prefilledTokens > 0) {
            run.transitionTo(RunState.DECODE)
            return
        }
        run.cachedTokens = minOf(cache.cachedTokens(run.cacheKeys), run.promptTokens - 1)
        run.transitionTo(RunState.PREFILL)
        runLog.began(run)
    }

    private fun finish(step: BatchStep) {
        step.prefills.forEach { it.run.prefilledTokens += it.tokens }
        val prefilled = step.prefills.map { it.run }
            .filter { it.state == RunState.PREFILL && it.prefillLeft == 0 }
        prefilled.forEach { cacheEvents.record(cache.store(it.cacheKeys, it.prefixHash)) }
        val decoded = step.decodes.filter { it.state == RunState.DECODE }
        (prefilled + decoded).forEach(::produce)
    }

    private fun produce(run: EngineRun) {
        run.produce()
        if (run.produced == 1) runLog.firstToken(run)
        if (run.produced >= run.maxTokens) end(run, EndReason.DONE)
    }

    private suspend fun runSweeps() {
        while (true) {
            delay(SWEEP_MS)
            runs.removeAbandoned().forEach { end(it, EndReason.CONNECTION_LOST) }
            runs.evictEnded()
            loadHistory.record(running = batch.running, queued = batch.queued)
        }
    }

    private companion object {
        const val DEFAULT_MAX_TOKENS = 16
        const val SWEEP_MS = 100L
        const val NS_PER_MS = 1_000_000L
        const val MAX_LAG_NS = 100 * NS_PER_MS
    }
}
