package org.hyssoprack.serving.limits

import assertk.assertThat
import assertk.assertions.isLessThanOrEqualTo
import kotlin.random.Random
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.LongRange
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.Incarnation
import org.hyssoprack.common.ManualClock
import org.hyssoprack.serving.settings.Account
import org.hyssoprack.serving.settings.QuotaUnit

/** Hosts that share a quota while the ledger moves between them and some are cut off. */
class FleetQuotaTest {
    private val tolerance = QuotaTolerance(windowMs = 8_000, overage = 0.1, slackTokens = 1_000.0)
    private val account = Account(
        name = ClientAccount("bakery"),
        unit = QuotaUnit.TOKENS,
        ratePerS = 10_000.0,
        burst = 10_000.0
    )
    private val allowed = (80_000.0 + 10_000.0) * 1.1 + 1_000.0

    private inner class Host(val index: Int, val clock: ManualClock) {
        val ref = HostRef(HostId("h$index"), Incarnation(1))
        val reported = HashSet<Int>()
        val ledger =
            QuotaLedger(clock, { tolerance }) { reported.size.toDouble() / HOSTS }
        val local = LocalQuota(clock, tolerance.windowMs) { HOSTS }

        /** Whose ledger it asks; null while it asks none. */
        var keeper: Host? = null

        fun use(amount: Double): Boolean {
            val asked = keeper ?: return local.admitLocally(account, amount)
            if (!asked.ledger.admit(ref, account, amount)) return false
            local.record(account.name, amount)
            return true
        }

        fun report() {
            val asked = keeper ?: return
            if (index !in asked.reported) {
                asked.ledger.inherit(listOf(account), local.usedShares.orEmpty())
            }
            asked.ledger.reconcile(ref, local.recent())
            asked.reported += index
            hearNews()
        }

        fun hearNews() {
            val asked = keeper ?: return
            local.learn(mapOf(account.name to asked.ledger.usedShare(account)))
        }

        fun moveTo(next: Host?) {
            keeper?.reported?.remove(index)
            keeper = next
            report()
        }
    }

    @Property(seed = "20261204", tries = 100)
    fun `no window goes over the quota, wherever the ledger is and whoever is cut off`(
        @ForAll @LongRange(max = 1L shl 40) seed: Long
    ) {
        val random = Random(seed)
        val clock = ManualClock(100_000)
        val hosts = List(HOSTS) { Host(it, clock) }
        hosts.forEach { it.ledger.restore(emptyMap()) }
        clock.advance(20_000)
        hosts.forEach { it.moveTo(hosts[0]) }
        val window = SlidingWindowSum(tolerance.windowMs)
        repeat(6_000) { step ->
            val host = hosts.random(random)
            val amount = random.nextDouble(1.0, 400.0)
            if (host.use(amount)) window.add(clock.nowMs(), amount)
            assertThat(window.total(clock.nowMs())).isLessThanOrEqualTo(allowed)
            if (step % REPORT_STEPS == 0) hosts.forEach { it.report() }
            if (step % NEWS_STEPS == 0) hosts.forEach { it.hearNews() }
            if (random.nextInt(MOVE_STEPS) == 0) move(hosts, random)
            clock.advance(random.nextLong(1, 12))
        }
    }

    /** All, or some, turn to another ledger; one may be cut off. */
    private fun move(hosts: List<Host>, random: Random) {
        val next = hosts.random(random)
        val share = random.nextDouble()
        hosts.shuffled(random).take((share * HOSTS).toInt() + 1).forEach { it.moveTo(next) }
        if (random.nextBoolean()) hosts.random(random).moveTo(null)
    }

    private companion object {
        const val HOSTS = 9

        // Steps of 6 ms on average between reports every second.
        const val REPORT_STEPS = 170

        // News of an account whose use grows fast, every tenth of a second.
        const val NEWS_STEPS = 17

        // Moves every three seconds or so.
        const val MOVE_STEPS = 500
    }
}
