package org.hyssoprack.gateway.forwarding.feeds

import assertk.assertAll
import assertk.assertThat
import assertk.assertions.isEqualTo
import assertk.assertions.isLessThanOrEqualTo
import net.jqwik.api.Example

/**
 * Guards against a feed that ends, skips rows or calls the store without pause after an error that
 * nobody expects. Readers tell their followers the row, so often all hosts fail at one moment.
 */
class FailingSinkTest {
    private class Case(val name: String, val hosts: FeedFleet.() -> List<FeedFleet.Host>)

    private val cases = listOf(
        Case("a reader") { listOf(readers.first()) },
        Case("both readers") { readers },
        Case("a follower") { listOf(followers.first()) },
        Case("all hosts") { readers + followers }
    )

    @Example
    fun `an error at one change delays it and loses nothing`() = assertAll {
        for (case in cases) {
            for (seed in SEEDS) {
                val fleet = FeedFleet(seed)
                fleet.advance(START_MS)
                case.hosts(fleet).forEach { failOnce(it) }
                fleet.advance(END_MS)
                fleet.end()
                assertThat(fleet.worstDelayMs, "${case.name}, seed $seed")
                    .isLessThanOrEqualTo(APPLY_MS)
            }
        }
    }

    @Example
    fun `an error that lasts calls the store seldom, and the feed goes on after it`() = assertAll {
        for (case in cases) {
            for (seed in SEEDS) {
                val fleet = FeedFleet(seed)
                val hosts = fleet.readers + fleet.followers
                fleet.advance(START_MS)
                val failing = case.hosts(fleet)
                failing.forEach { host -> host.isFailing = { true } }
                val before = failing.associateWith { it.calls }
                fleet.advance(FAULT_MS)
                for (host in failing) {
                    assertThat(host.calls - before.getValue(host), "${case.name}, seed $seed")
                        .isLessThanOrEqualTo(FAILING_CALLS)
                }
                failing.forEach { host -> host.isFailing = { false } }
                fleet.advance(RETURN_MS)
                fleet.stopChanges()
                fleet.advance(APPLY_MS)
                assertThat(hosts.map { it.version }.toSet(), "${case.name}, seed $seed")
                    .isEqualTo(setOf(fleet.newestVersion))
                fleet.end()
            }
        }
    }

    private fun failOnce(host: FeedFleet.Host) {
        var isDue = true
        host.isFailing = { isDue.also { isDue = false } }
    }

    private companion object {
        val SEEDS = 1..10
        const val START_MS = 5_000L
        const val END_MS = 10_000L
        const val FAULT_MS = 30_000L
        const val APPLY_MS = 2_000L

        // The longest delay of a task and one held call.
        const val RETURN_MS = 3_000L

        // One read of the whole table every 1.6 s, and six in the first 1.6 s.
        const val FAILING_CALLS = 26
    }
}
