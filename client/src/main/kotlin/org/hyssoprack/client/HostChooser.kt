package org.hyssoprack.client

import kotlin.random.Random
import org.hyssoprack.common.Clock
import org.hyssoprack.common.NetworkAddress

/**
 * Chooses hosts by their measured response times and the calls in progress there: the better of two
 * random ones of the first half of the list, which the system orders by nearness and load.
 */
internal class HostChooser(
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

    /** One of [hosts], preferably not in [tried]; null if there is none. */
    @Synchronized
    fun choose(hosts: List<EntryHost>, tried: Set<NetworkAddress> = emptySet()): EntryHost? {
        scores.keys.retainAll { known -> hosts.any { it.address == known } }
        val nowMs = clock.nowMs()
        val fresh = hosts.filter { it.address !in tried && score(it.address).avoidUntilMs <= nowMs }
        val usable = fresh.ifEmpty { hosts.filter { it.address !in tried } }.ifEmpty { hosts }
        val near = usable.take(maxOf(MIN_CHOICE, (usable.size + 1) / 2))
        return near.shuffled(random).take(2).minByOrNull { cost(score(it.address)) }
    }

    /** Notes that a call begins at [address]. */
    @Synchronized
    fun began(address: NetworkAddress) {
        score(address).inProgress++
    }

    /** Notes that a call at [address] ended. */
    @Synchronized
    fun ended(address: NetworkAddress) {
        val score = score(address)
        score.inProgress = maxOf(0, score.inProgress - 1)
    }

    /** Notes that the first part of an answer took [ms] milliseconds. */
    @Synchronized
    fun responded(address: NetworkAddress, ms: Long) {
        val score = score(address)
        val old = score.responseMs.takeIf { it > UNKNOWN_MS } ?: ms.toDouble()
        score.responseMs = old + (ms - old) * SMOOTHING
    }

    /** Notes that [address] could not be reached or broke off. */
    @Synchronized
    fun failed(address: NetworkAddress) {
        score(address).avoidUntilMs = clock.nowMs() + settings.avoidMs
    }

    private fun score(address: NetworkAddress): Score = scores.getOrPut(address) { Score() }

    private fun cost(score: Score): Double = (score.responseMs + 1) * (score.inProgress + 1)

    private companion object {
        const val UNKNOWN_MS = 0.0
        const val SMOOTHING = 0.2
        const val MIN_CHOICE = 3
    }
}
