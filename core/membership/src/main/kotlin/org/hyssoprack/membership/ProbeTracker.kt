package org.hyssoprack.membership

import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef

/** The probes that are under way, and how the last ones ended. */
internal class ProbeTracker(private val settings: MembershipSettings) {
    private val pending = LinkedHashMap<Long, Probe>()
    private val results = ArrayDeque<Boolean>()
    private var lastSequence = 0L

    /**
     * Share, from 0 to 1, of the last probes that were answered. A host that has just started or
     * was paused reaches 1 only after it has probed as many of its [peers] as a share is made of.
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

    /** A sequence number for a ping whose pong is not awaited. */
    fun untracked(): Long = ++lastSequence

    /** Ends the probe that a pong answers; null if it is not under way any more. */
    fun answered(sequence: Long): Probe? {
        val probe = pending.remove(sequence) ?: return null
        if (probe.origin == null) record(true)
        return probe
    }

    /** Probes of this host that are due to be tried through other members, each once. */
    fun takeIndirectDue(nowMs: Long): List<Probe> {
        val due = pending.values.filter {
            !it.indirect && it.origin == null && nowMs - it.startedMs >= settings.pongTimeoutMs
        }
        due.forEach { pending[it.sequence] = it.copy(indirect = true) }
        return due
    }

    /** Ends the probes that have waited too long, and returns those of this host. */
    fun takeFailed(nowMs: Long): List<Probe> {
        val limitMs = settings.pongTimeoutMs + settings.indirectTimeoutMs
        val failed = pending.values.filter { nowMs - it.startedMs >= limitMs }
        failed.forEach { pending.remove(it.sequence) }
        val own = failed.filter { it.origin == null }
        own.forEach { _ -> record(false) }
        return own
    }

    /** Forgets all probes and results. */
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
