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

/**
 * Simulates hosts that share a quota while the ledger moves between them and some hosts are
 * partitioned.
 */
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
        val reporters = HashSet<Int>()
        val ledger =
            QuotaLedger(clock, { tolerance }) { reporters.size.toDouble() / HOSTS }
        val local = LocalQuota(clock, tolerance.windowMs) { HOSTS }

        /** Host whose ledger this host uses; null while it is partitioned from all ledgers. */
        var ledgerHost: Host? = null

        fun use(amount: Double): Boolean {
            val target = ledgerHost ?: return local.admitLocally(account, amount)
            if (!target.ledger.admit(ref, account, amount)) return false
            local.record(account.name, amount)
            return true
        }

        fun report() {
            val target = ledgerHost ?: return
            if (index !in target.reporters) {
                target.ledger.inherit(listOf(account), local.usedShares.orEmpty())
            }
            target.ledger.reconcile(ref, local.recent())
            target.reporters += index
            receiveUpdate()
        }

        fun receiveUpdate() {
            val target = ledgerHost ?: return
            local.updateUsedShares(mapOf(account.name to target.ledger.usedShare(account)))
        }

        fun moveTo(next: Host?) {
            ledgerHost?.reporters?.remove(index)
            ledgerHost = next
            report()
        }
    }

    @Property(seed = "20261204", tries = 100)
    fun `no window exceeds the quota, wherever the ledger is and whichever host is partitioned`(
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
            if (step % UPDATE_STEPS == 0) hosts.forEach { it.receiveUpdate() }
            if (random.nextInt(MOVE_STEPS) == 0) move(hosts, random)
            clock.advance(random.nextLong(1, 12))
        }
    }

    /** Moves some or all hosts to another ledger, and may partition one host from all ledgers. */
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

        // Updates for an account whose usage grows fast, every tenth of a second.
        const val UPDATE_STEPS = 17

        // Moves every three seconds or so.
        const val MOVE_STEPS = 500
    }
}
