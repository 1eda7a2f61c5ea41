package org.hyssoprack.standins.engine

import org.hyssoprack.common.Clock

/** Requests by id with their attached streams. Of several with one id, the latest is returned. */
internal class RunTable(private val clock: Clock, private val graceMs: Long) {
    private val runs = HashMap<String, EngineRun>()
    private val detached = LinkedHashSet<EngineRun>()
    private val ended = ArrayDeque<EngineRun>()

    /** Adds a request with one stream attached. */
    fun add(run: EngineRun) {
        runs[run.id] = run
        run.attachedStreams++
    }

    /** Returns the request with this id, or null. */
    fun find(id: String): EngineRun? = runs[id]

    /** Like [find], and attaches a stream. */
    fun attach(id: String): EngineRun? {
        val run = runs[id] ?: return null
        run.attachedStreams++
        run.detachedAtMs = null
        detached.remove(run)
        return run
    }

    /** Detaches a stream of [run]. */
    fun detach(run: EngineRun) {
        run.attachedStreams--
        if (run.state == RunState.ENDED) {
            ended.addLast(run)
            return
        }
        if (run.attachedStreams > 0) return
        run.detachedAtMs = clock.nowMs()
        detached.add(run)
    }

    /**
     * Moves the requests that had no stream for at least [graceMs] milliseconds to the ended ones,
     * and returns them.
     */
    fun removeAbandoned(): List<EngineRun> {
        val now = clock.nowMs()
        val lost = detached.filter { now - (it.detachedAtMs ?: now) >= graceMs }
        detached.removeAll(lost.toSet())
        ended.addAll(lost)
        return lost
    }

    /** Evicts requests that ended at least [KEEP_ENDED_MS] ago. */
    fun evictEnded() {
        val now = clock.nowMs()
        while (ended.isNotEmpty() && now - ended.first().endedAtMs >= KEEP_ENDED_MS) {
            val run = ended.removeFirst()
            if (runs[run.id] === run) runs.remove(run.id)
        }
    }

    private companion object {
        const val KEEP_ENDED_MS = 30_000L
    }
}
