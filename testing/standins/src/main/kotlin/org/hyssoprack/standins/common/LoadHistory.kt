package org.hyssoprack.standins.common

import org.hyssoprack.backend.LoadReport
import org.hyssoprack.common.Clock

/** Remembers the load so that reports can be served with a lag. */
internal class LoadHistory(private val clock: Clock, private val lagMs: Long) {
    private val samples = ArrayDeque<Sample>()

    /** Records the load of this moment. */
    fun record(running: Int, queued: Int) {
        val now = clock.nowMs()
        val last = samples.lastOrNull()
        val isRecent = last != null && now - last.atMs < SAMPLE_MS
        val atMs = if (isRecent) samples.removeLast().atMs else now
        samples.addLast(Sample(atMs = atMs, running = running, queued = queued))
        while (samples.size > 1 && samples[1].atMs <= now - lagMs) samples.removeFirst()
    }

    /** The load as it was one lag ago. */
    fun report(leaving: Boolean): LoadReport {
        val now = clock.nowMs()
        val sample = samples.lastOrNull { it.atMs <= now - lagMs }
            ?: return LoadReport(running = 0, queued = 0, ageMs = lagMs, leaving = leaving)
        return LoadReport(
            running = sample.running,
            queued = sample.queued,
            ageMs = lagMs,
            leaving = leaving
        )
    }

    private class Sample(val atMs: Long, val running: Int, val queued: Int)

    private companion object {
        const val SAMPLE_MS = 20L
    }
}
