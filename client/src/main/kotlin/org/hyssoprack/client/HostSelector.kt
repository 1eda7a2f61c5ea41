package org.hyssoprack.client

import kotlin.random.Random
import org.hyssoprack.common.Clock
import org.hyssoprack.common.NetworkAddress

/**
 * Selects hosts by power of two choices: of two random hosts from the first half of the list, the
 * one with the lower product of response time and calls in progress. The hosts order the list by
 * proximity and load.
 */
internal class HostSelector(
    private val settings: ClientSettings,
    private val clock: Clock,
    private val random: Random
) {
    private class Score(
        var responseMs: Double = UNKNOWN_MS,
        var inProgress: Int = 0,
        var avoidUntilMs: Long = Long.MIN_VALUE
    )

    private val scores = HashMap<NetworkAddress, Score>()

    /** Returns one of [hosts], preferably one not in [tried]; null if [hosts] is empty. */
    @Synchronized
    fun choose(hosts: List<EntryHost>, tried: Set<NetworkAddress> = emptySet()): EntryHost? {
        scores.keys.retainAll { address -> hosts.any { it.address == address } }
        val nowMs = clock.nowMs()
        val preferred = hosts.filter {
            it.address !in tried &&
                score(it.address).avoidUntilMs <= nowMs
        }
        val usable = preferred.ifEmpty { hosts.filter { it.address !in tried } }.ifEmpty { hosts }
        val candidates = usable.take(maxOf(MIN_CANDIDATES, (usable.size + 1) / 2))
        return candidates.shuffled(random).take(2).minByOrNull { cost(score(it.address)) }
    }

    /** Counts a call as in progress at [address]. */
    @Synchronized
    fun callStarted(address: NetworkAddress) {
        score(address).inProgress++
    }

    /** Counts a call at [address] as ended. */
    @Synchronized
    fun callEnded(address: NetworkAddress) {
        val score = score(address)
        score.inProgress = maxOf(0, score.inProgress - 1)
    }

    /** Records that [address] sent the first part of a response after [ms] milliseconds. */
    @Synchronized
    fun recordResponseTime(address: NetworkAddress, ms: Long) {
        val score = score(address)
        val old = score.responseMs.takeIf { it > UNKNOWN_MS } ?: ms.toDouble()
        score.responseMs = old + (ms - old) * SMOOTHING
    }

    /** Avoids [address] for a while, after a failed connection or a lost response. */
    @Synchronized
    fun recordFailure(address: NetworkAddress) {
        score(address).avoidUntilMs = clock.nowMs() + settings.avoidMs
    }

    private fun score(address: NetworkAddress): Score = scores.getOrPut(address) { Score() }

    private fun cost(score: Score): Double = (score.responseMs + 1) * (score.inProgress + 1)

    private companion object {
        const val UNKNOWN_MS = 0.0
        const val SMOOTHING = 0.2
        const val MIN_CANDIDATES = 3
    }
}
