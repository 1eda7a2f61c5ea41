package org.hyssoprack.serving.limits

import assertk.assertThat
import assertk.assertions.isBetween
import assertk.assertions.isEqualTo
import assertk.assertions.isFalse
import assertk.assertions.isGreaterThanOrEqualTo
import assertk.assertions.isLessThanOrEqualTo
import assertk.assertions.isTrue
import net.jqwik.api.Example
import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.HostId
import org.hyssoprack.common.HostRef
import org.hyssoprack.common.Incarnation
import org.hyssoprack.common.ManualClock
import org.hyssoprack.serving.settings.Account
import org.hyssoprack.serving.settings.QuotaUnit

class QuotaLedgerTest {
    private val tolerance = QuotaTolerance(windowMs = 8_000, overage = 0.1, slackTokens = 1_000.0)
    private val account = Account(
        name = ClientAccount("bakery"),
        unit = QuotaUnit.TOKENS,
        ratePerS = 1_000.0,
        burst = 1_000.0
    )

    private val host = HostRef(HostId("b"), Incarnation(1))

    /** Rate times window, burst, and the whole tolerance. */
    private val allowed = (8_000.0 + 1_000.0) * 1.1 + 1_000.0

    @Example
    fun `the amount admitted in a window scales with the share of hosts that report`() {
        class Case(val name: String, val reporting: Double, val least: Double, val most: Double)
        val cases = listOf(
            Case("all hosts report", reporting = 1.0, least = 9_000.0, most = allowed),
            Case(
                "partitioned from eight others",
                reporting = 1.0 / 9,
                least = 900.0,
                most =
                allowed / 9
            )
        )
        for (case in cases) {
            val clock = ManualClock(100_000)
            val ledger = QuotaLedger(clock, { tolerance }) { case.reporting }
            ledger.restore(emptyMap())
            clock.advance(20_000)
            val admitted = admitAll(ledger)
            assertThat(admitted, case.name).isBetween(case.least, case.most)
        }
    }

    @Example
    fun `the quota of a request that did not run is refunded`() {
        val clock = ManualClock(0)
        val ledger = QuotaLedger(clock, { tolerance }) { 1.0 }
        clock.advance(20_000)
        admitAll(ledger)
        assertThat(ledger.admit(host, account, STEP)).isFalse()
        ledger.refund(host, account, STEP)
        assertThat(ledger.admit(host, account, STEP)).isTrue()
    }

    @Example
    fun `quota becomes available again as the window passes`() {
        val clock = ManualClock(0)
        val ledger = QuotaLedger(clock, { tolerance }) { 1.0 }
        clock.advance(20_000)
        admitAll(ledger)
        assertThat(ledger.waitMs(account, STEP)).isBetween(1, 8_000)
        clock.advance(9_000)
        assertThat(ledger.admit(host, account, STEP)).isTrue()
    }

    @Example
    fun `a restart of all hosts at once does not grant the window twice`() {
        val clock = ManualClock(100_000)
        val before = QuotaLedger(clock, { tolerance }) { 1.0 }
        before.restore(emptyMap())
        clock.advance(20_000)
        val first = admitAll(before)
        val recorded = before.slices(account.name)
        clock.advance(1_500)
        val after = QuotaLedger(clock, { tolerance }) { 1.0 }
        after.restore(mapOf(account.name to RecordedUsage(recorded, ageMs = 1_500)))
        assertThat(first + admitAll(after)).isLessThanOrEqualTo(allowed)
    }

    @Example
    fun `a host that starts without a record reserves quota for unrecorded usage`() {
        val clock = ManualClock(100_000)
        val ledger = QuotaLedger(clock, { tolerance }) { 1.0 }
        ledger.restore(emptyMap())
        val unrecorded = 9_000.0 * QuotaLedger.RECORD_FLOOR
        assertThat(unrecorded + admitAll(ledger)).isLessThanOrEqualTo(allowed)
    }

    @Example
    fun `the older a record is, the more of the quota is reserved`() {
        class Case(val name: String, val ageMs: Long, val reservedShare: Double)
        val cases = listOf(
            Case("written just before the restart", 1_200, QuotaLedger.RECORD_STEP),
            Case("writes were lost for three seconds", 4_200, 0.4),
            Case("no record of this window", 20_000, QuotaLedger.RECORD_FLOOR),
            Case("from a clock that is ahead", -500, QuotaLedger.RECORD_FLOOR)
        )
        for (case in cases) {
            val ledger = QuotaLedger(ManualClock(100_000), { tolerance }) { 1.0 }
            ledger.restore(mapOf(account.name to RecordedUsage(emptyList(), case.ageMs)))
            val used = 9_000.0 * case.reservedShare
            assertThat(used + admitAll(ledger), case.name).isLessThanOrEqualTo(allowed)
        }
    }

    @Example
    fun `usage that a host reports beyond what the ledger admitted for it counts once`() {
        class Case(val name: String, val admitted: Double, val reported: Double, val share: Double)
        val cases = listOf(
            Case("admitted elsewhere", admitted = 0.0, reported = 4_500.0, share = 0.5),
            Case("admitted here", admitted = 4_500.0, reported = 4_500.0, share = 0.5),
            Case("part of it here", admitted = 900.0, reported = 4_500.0, share = 0.5),
            Case("report not yet received", admitted = 4_500.0, reported = 0.0, share = 0.5)
        )
        for (case in cases) {
            val ledger = QuotaLedger(ManualClock(100_000), { tolerance }) { 1.0 }
            ledger.restore(emptyMap())
            if (case.admitted > 0) ledger.admit(host, account, case.admitted)
            repeat(2) { ledger.reconcile(host, mapOf(account.name to case.reported)) }
            assertThat(ledger.usedShare(account), case.name).isEqualTo(case.share)
        }
    }

    @Example
    fun `usage that was recorded and is reported as well counts once`() {
        val ledger = QuotaLedger(ManualClock(100_000), { tolerance }) { 1.0 }
        val slices = listOf(UsageSlice(startMs = 99_000, amount = 4_500.0))
        ledger.restore(mapOf(account.name to RecordedUsage(slices, ageMs = 1_000)))
        ledger.reconcile(host, mapOf(account.name to 4_500.0))
        assertThat(ledger.usedShare(account)).isEqualTo(0.5)
    }

    @Example
    fun `usage that the ledger before told of and that hosts report as well counts once`() {
        val startsMs = mapOf("before the record" to 1L, "after the record" to 99_500L)
        for ((name, startMs) in startsMs) {
            val ledger = QuotaLedger(ManualClock(100_000), { tolerance }) { 1.0 }
            val slices = listOf(UsageSlice(startMs = 99_000, amount = 900.0))
            ledger.restore(mapOf(account.name to RecordedUsage(slices, ageMs = 1_000)))
            ledger.inherit(listOf(account), mapOf(account.name to 0.5))
            val reporter = HostRef(HostId("c"), Incarnation(startMs))
            ledger.reconcile(reporter, mapOf(account.name to 3_600.0))
            assertThat(ledger.usedShare(account), name).isEqualTo(0.5)
        }
    }

    @Example
    fun `hosts that restart at once use what the record left, before and after they meet`() {
        class Case(val name: String, val recorded: Double, val least: Double)
        val cases = listOf(
            Case("nothing was used", recorded = 0.0, least = 7_000.0),
            Case("a third was used", recorded = 3_000.0, least = 4_500.0),
            Case("two thirds were used", recorded = 6_000.0, least = 1_500.0),
            Case("all was used", recorded = 9_000.0, least = 0.0)
        )
        for (case in cases) {
            val clock = ManualClock(100_000)
            val record = RecordedUsage(listOf(UsageSlice(98_000, case.recorded)), ageMs = 1_500)
            var isAlone = true
            val ledgers = (1..HOSTS).associate {
                val ledger =
                    QuotaLedger(clock, { tolerance }) { if (isAlone) 1.0 / HOSTS else 1.0 }
                ledger.restore(mapOf(account.name to record))
                HostRef(HostId("h$it"), Incarnation(99_800)) to ledger
            }
            val alone = ledgers.mapValues { (host, ledger) -> admitAll(ledger, host) }
            assertThat(alone.values.sum(), "${case.name}, alone").isGreaterThanOrEqualTo(case.least)
            isAlone = false
            val owner = ledgers.values.first()
            alone.forEach { (host, used) -> owner.reconcile(host, mapOf(account.name to used)) }
            val used = case.recorded + alone.values.sum() + admitAll(owner)
            assertThat(used, case.name).isLessThanOrEqualTo(allowed)
        }
    }

    @Example
    fun `a caller is asked to come back when the other hosts have been met, or quota is free`() {
        class Case(val name: String, val uptimeMs: Long, val recorded: Double, val isSoon: Boolean)
        val cases = listOf(
            Case("just started, quota left", uptimeMs = 500, recorded = 0.0, isSoon = true),
            Case("just started, quota used", uptimeMs = 500, recorded = 9_000.0, isSoon = false),
            Case("partitioned", uptimeMs = 20_000, recorded = 0.0, isSoon = false)
        )
        for (case in cases) {
            val clock = ManualClock(100_000)
            val ledger = QuotaLedger(clock, { tolerance }) { 1.0 / HOSTS }
            val slices = listOf(UsageSlice(startMs = 99_000, amount = case.recorded))
            ledger.restore(mapOf(account.name to RecordedUsage(slices, ageMs = 1_000)))
            clock.advance(case.uptimeMs)
            admitAll(ledger)
            assertThat(ledger.waitMs(account, 500.0) == 0L, case.name).isEqualTo(case.isSoon)
        }
    }

    private fun admitAll(ledger: QuotaLedger, host: HostRef = this.host): Double {
        var sum = 0.0
        while (ledger.admit(host, account, STEP)) sum += STEP
        return sum
    }

    private companion object {
        const val STEP = 10.0
        const val HOSTS = 9
    }
}
