package org.hyssoprack.membership

import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef

/** Tracks pending probes and the results of recent ones. */
internal class ProbeTracker(private val settings: MembershipSettings) {
    private val pending = LinkedHashMap<Long, Probe>()
    private val results = ArrayDeque<Boolean>()
    private var lastSequence = 0L

    /**
     * Share of recent probes that were answered, from 0 to 1. After a start or a pause it can reach
     * 1 only once results of min([peers], [RESULT_COUNT]) probes have been recorded.
     */
    fun answeredShare(peers: Int): Double {
        val expected = maxOf(results.size, minOf(peers, RESULT_COUNT))
        return if (expected == 0) 0.0 else results.count { it } / expected.toDouble()
    }

    /** Starts a probe of [target]. */
    fun start(
        nowMs: Long,
        target: HostRef,
        origin: HostId? = null,
        originSequence: Long = 0
    ): Probe {
        val probe = Probe(++lastSequence, target, nowMs, origin, originSequence)
        pending[probe.sequence] = probe
        return probe
    }

    /** A sequence number for a ping that is not tracked. */
    fun untrackedSequence(): Long = ++lastSequence

    /** Completes the probe that a pong answers; null if it is no longer pending. */
    fun complete(sequence: Long): Probe? {
        val probe = pending.remove(sequence) ?: return null
        if (probe.origin == null) record(true)
        return probe
    }

    /** Returns this host's probes that are due for indirect pings, each probe once. */
    fun takeIndirectDue(nowMs: Long): List<Probe> {
        val due = pending.values.filter {
            !it.indirect && it.origin == null && nowMs - it.startedMs >= settings.pongTimeoutMs
        }
        due.forEach { pending[it.sequence] = it.copy(indirect = true) }
        return due
    }

    /** Removes the probes that have timed out, and returns those of this host. */
    fun removeTimedOut(nowMs: Long): List<Probe> {
        val limitMs = settings.pongTimeoutMs + settings.indirectTimeoutMs
        val failed = pending.values.filter { nowMs - it.startedMs >= limitMs }
        failed.forEach { pending.remove(it.sequence) }
        val own = failed.filter { it.origin == null }
        own.forEach { _ -> record(false) }
        return own
    }

    /** Removes all pending probes and results. */
    fun clear() {
        pending.clear()
        results.clear()
    }

    private fun record(answered: Boolean) {
        results.addLast(answered)
        if (results.size > RESULT_COUNT) results.removeFirst()
    }

    private companion object {
        const val RESULT_COUNT = 8
    }
}
