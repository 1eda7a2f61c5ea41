package org.hyssoprack.standins.engine

/** The queue and the running batch of an emulated engine. */
internal class Batch(private val settings: EngineSettings) {
    private val waiting = ArrayDeque<EngineRun>()
    private val resuming = ArrayDeque<EngineRun>()
    private val active = LinkedHashSet<EngineRun>()

    /** Number of requests in the running batch. */
    val running: Int get() = active.size

    /** Number of requests that wait for a slot in the batch. */
    val queued: Int get() = waiting.size + resuming.size

    /** Appends a new request to the queue. */
    fun enqueue(run: EngineRun) {
        waiting.addLast(run)
    }

    /** Removes a request from the batch and keeps its state. */
    fun suspend(run: EngineRun) {
        remove(run)
        run.transitionTo(RunState.SUSPENDED)
    }

    /** Queues a suspended request ahead of new ones. */
    fun resume(run: EngineRun) {
        run.transitionTo(RunState.QUEUED)
        resuming.addLast(run)
    }

    /** Removes a request from the batch or the queue. */
    fun remove(run: EngineRun) {
        if (active.remove(run)) return
        if (!resuming.remove(run)) waiting.remove(run)
    }

    /** Fills free slots of the batch from the queue and returns the admitted requests. */
    fun admit(): List<EngineRun> {
        val admitted = mutableListOf<EngineRun>()
        while (active.size < settings.slots) {
            val run = resuming.removeFirstOrNull() ?: waiting.removeFirstOrNull() ?: break
            active.add(run)
            admitted.add(run)
        }
        return admitted
    }

    /** Plans the next step: one token for each decoding request, and a chunk of prompt tokens. */
    fun plan(): BatchStep {
        val decodes = active.filter { it.state == RunState.DECODE }
        val prefills = planPrefills()
        val decodeMs = if (decodes.isEmpty()) 0.0 else decodeMs(decodes.size)
        val prefillMs = prefills.sumOf { it.tokens } * MS_PER_S / settings.prefillTokensPerS
        return BatchStep(decodes = decodes, prefills = prefills, durationMs = decodeMs + prefillMs)
    }

    private fun decodeMs(size: Int): Double =
        settings.tokenMs * (1 + settings.batchSlowdown * (size - 1))

    private fun planPrefills(): List<PrefillChunk> {
        var left = settings.prefillChunk
        val chunks = mutableListOf<PrefillChunk>()
        for (run in active) {
            if (left == 0) break
            if (run.state != RunState.PREFILL) continue
            val tokens = minOf(left, run.prefillLeft)
            chunks.add(PrefillChunk(run = run, tokens = tokens))
            left -= tokens
        }
        return chunks
    }

    private companion object {
        const val MS_PER_S = 1_000.0
    }
}
