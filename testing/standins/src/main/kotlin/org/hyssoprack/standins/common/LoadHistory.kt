package org.hyssoprack.standins.common

import org.hyssoprack.backend.LoadReport
import org.hyssoprack.common.Clock

/** Keeps load samples so that load reports can be served with a lag of [lagMs]. */
internal class LoadHistory(private val clock: Clock, private val lagMs: Long) {
    private val samples = ArrayDeque<Sample>()

    /** Records the current load. */
    fun record(running: Int, queued: Int) {
        val now = clock.nowMs()
        val last = samples.lastOrNull()
        val isRecent = last != null && now - last.atMs < SAMPLE_MS
        val atMs = if (isRecent) samples.removeLast().atMs else now
        samples.addLast(Sample(atMs = atMs, running = running, queued = queued))
        while (samples.size > 1 && samples[1].atMs <= now - lagMs) samples.removeFirst()
    }

    /** Returns the load as it was [lagMs] ago; zero if there is no sample that old. */
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
