package org.hyssoprack.serving.limits

import org.hyssoprack.common.Clock

/**
 * Admits requests of hosts that decide alone. The hosts take turns by the wall clock, which needs no
 * messages: even if none can reach another, they admit no more in any span than one host would.
 *
 * @param offset shifts the turns, so that servers have different hosts' turns at the same time; the
 *   same on all hosts.
 */
internal class HostTurns(private val clock: Clock, private val offset: Int) {
    private var usedTurn = Long.MIN_VALUE
    private var used = 0

    /**
     * Returns the time until this host may send a request, in milliseconds; 0 if it may now.
     *
     * @param perMs requests of all hosts per millisecond.
     */
    fun waitMs(perMs: Double, host: HostPosition): Long {
        val epochMs = clock.epochMs()
        val turnMs = turnMs(perMs)
        val turn = Math.floorDiv(epochMs, turnMs)
        val turnsLeft = Math.floorMod(host.index - (turn + offset), host.count.toLong())
        val isUsedUp = turn == usedTurn && used >= perTurn(perMs, turnMs)
        if (turnsLeft == 0L && !isUsedUp) return 0
        return (turn + if (turnsLeft == 0L) host.count.toLong() else turnsLeft) * turnMs - epochMs
    }

    /** Counts a request of this host. */
    fun take(perMs: Double) {
        val turn = Math.floorDiv(clock.epochMs(), turnMs(perMs))
        used = if (turn == usedTurn) used + 1 else 1
        usedTurn = turn
    }

    private fun turnMs(perMs: Double): Long = maxOf((1 / perMs).toLong(), MIN_TURN_MS)

    private fun perTurn(perMs: Double, turnMs: Long): Int =
        (perMs * turnMs).toInt().coerceAtLeast(1)

    private companion object {
        // Several times the interval at which waiting requests are checked.
        const val MIN_TURN_MS = 100L
    }
}
