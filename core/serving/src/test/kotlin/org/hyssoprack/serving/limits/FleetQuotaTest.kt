package org.hyssoprack.serving.limits

import assertk.assertThat
import assertk.assertions.isGreaterThan
import assertk.assertions.isLessThanOrEqualTo
import kotlin.random.Random
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.DoubleRange
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

        /** Whether it has decided alone since its last report. */
        var isReportDue = false

        fun use(amount: Double): Boolean {
            val target = ledgerHost ?: return local.admitLocally(account, amount)
            if (!target.ledger.admit(ref, account, amount)) return false
            local.record(account.name, amount)
            return true
        }

        /** Decides alone for a request whose reply is late, while this host reports to its ledger. */
        fun useAlone(amount: Double): Boolean {
            val isAdmitted = local.admitLate(account, amount)
            isReportDue = isReportDue || isAdmitted
            return isAdmitted
        }

        fun report() {
            isReportDue = false
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
    ) = simulate(seed, lateShare = 0.0, ::move)

    @Property(seed = "20261207", tries = 100)
    fun `no window exceeds the quota while hosts decide alone and the ledger stays where it is`(
        @ForAll @LongRange(max = 1L shl 40) seed: Long,
        @ForAll @DoubleRange(max = 1.0) lateShare: Double
    ) = simulate(seed, lateShare) { hosts, random ->
        hosts.random(random).moveTo(hosts[0].takeIf { random.nextBoolean() })
    }

    private fun simulate(seed: Long, lateShare: Double, move: (List<Host>, Random) -> Unit) {
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
            val isLate = lateShare > 0 && random.nextDouble() < lateShare
            val isAdmitted = if (isLate) host.useAlone(amount) else host.use(amount)
            if (isAdmitted) window.add(clock.nowMs(), amount)
            assertThat(window.total(clock.nowMs())).isLessThanOrEqualTo(allowed)
            if (step % REPORT_STEPS == 0) hosts.forEach { it.report() }
            if (step % TICK_STEPS == 0) hosts.filter { it.isReportDue }.forEach { it.report() }
            if (step % UPDATE_STEPS == 0) hosts.forEach { it.receiveUpdate() }
            if (random.nextInt(MOVE_STEPS) == 0) move(hosts, random)
            clock.advance(random.nextLong(1, 12))
        }
    }

    @Property(seed = "20261208", tries = 50)
    fun `hosts that restart at once and hear of no ledger admit requests within the quota`(
        @ForAll @DoubleRange(min = 0.3, max = 1.0) usedShare: Double
    ) {
        val clock = ManualClock(100_000)
        val window = SlidingWindowSum(tolerance.windowMs)
        val used = (0 until 8).map { UsageSlice(93_000L + it * 1_000, usedShare * 90_000.0 / 8) }
        used.forEach { window.add(it.startMs, it.amount) }
        val hosts = List(HOSTS) {
            val ledger = QuotaLedger(clock, { tolerance }) { 1.0 }
            ledger.restore(mapOf(account.name to RecordedUsage(used, ageMs = 1_000)))
            LocalQuota(clock, tolerance.windowMs, ledger::recordedShare) { HOSTS }
        }
        var admitted = 0.0
        repeat(1_600) {
            hosts.filter { it.admitLocally(account, 200.0) }.forEach { _ ->
                window.add(clock.nowMs(), 200.0)
                admitted += 200.0
            }
            assertThat(window.total(clock.nowMs())).isLessThanOrEqualTo(allowed)
            clock.advance(10)
        }
        assertThat(admitted).isGreaterThan(90_000.0)
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

        // Reports of decisions alone, up to 150 ms later.
        const val TICK_STEPS = 25

        // Updates for an account whose usage grows fast, every tenth of a second.
        const val UPDATE_STEPS = 17

        // Moves every three seconds or so.
        const val MOVE_STEPS = 500
    }
}
